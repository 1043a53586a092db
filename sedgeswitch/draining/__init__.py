"""Draining of backend servers: idle detection and moves of their primaries."""
