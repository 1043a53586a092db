"""Caller keys: made, kept as digests, checked."""
