"""Drives the callers' API of a fleet and checks every answer."""
