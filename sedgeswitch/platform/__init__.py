"""Adapter to the users' platform: translates its protocol, documents and settings."""
