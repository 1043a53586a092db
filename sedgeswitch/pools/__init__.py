"""Scarce connections to instances, and transactions."""
