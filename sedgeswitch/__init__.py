"""A database proxy with session consistency for small public services."""

__version__ = "0.1.0"
