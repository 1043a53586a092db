"""Connection pools to instances, shares of their connections, and transactions."""
