"""Adapter to the users' platform: translates its protocols and settings."""
