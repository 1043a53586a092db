"""The HTTP edge for callers and operators."""
