"""Fleet-wide rate limits and fair queues."""
