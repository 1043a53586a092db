"""Draining of backend servers: idle detection, and moves of primaries off them."""
