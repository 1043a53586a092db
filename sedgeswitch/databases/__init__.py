"""Databases that callers name, as one document that operators replace whole."""
