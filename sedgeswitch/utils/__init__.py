"""Helpers that several slices share."""
