"""Stand-in for one instance of a PostgreSQL database group, for tests and benchmarks.

Each process runs one instance.  It implements version 3 of the PostgreSQL
frontend/backend protocol, stores its data in SQLite and, as a replica, applies
the log of the group's primary.
"""
