"""Fleet-wide rate limits and fair queues for the requests of organisations."""
