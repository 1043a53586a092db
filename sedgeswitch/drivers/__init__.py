"""Connections to database instances."""
