"""Stand-ins for the platform, the databases, the operator and the clients."""
