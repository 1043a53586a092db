"""Fleet-wide rate limits by token buckets, and fair queues, for organisations."""
