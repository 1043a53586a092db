"""Health checks of database groups, write permits, and failover of primaries."""
