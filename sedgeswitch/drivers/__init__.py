"""Drivers: connections to database instances."""
