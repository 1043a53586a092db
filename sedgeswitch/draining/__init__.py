"""Drained backend servers and graceful shutdown."""
