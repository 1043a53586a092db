"""Keys of callers: generation, digests, checks and redaction."""
