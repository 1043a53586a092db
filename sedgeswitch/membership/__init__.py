"""Heartbeats, the leases that they renew, and the directory of backend servers."""
