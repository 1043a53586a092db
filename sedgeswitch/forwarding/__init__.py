"""Forwarding of statements to the few hosts that hold an instance's connections."""
