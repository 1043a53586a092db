"""Leases of entry hosts and backend servers, and the heartbeat that renews them."""
