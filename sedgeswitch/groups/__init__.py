"""Health checks of database groups, write leases, and failover of primaries."""
