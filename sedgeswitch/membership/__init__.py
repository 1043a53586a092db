"""Leases of entry hosts and backend servers, and the heartbeats that renew them."""
