"""Health of database groups, write leases and failover."""
