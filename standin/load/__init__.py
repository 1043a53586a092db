"""Load tool for the callers' API that checks the consistency of every answer."""
