"""A stand-in for one instance of a PostgreSQL database group.

One process is one instance.  It speaks version 3 of the PostgreSQL protocol,
keeps its data in SQLite and copies the log of the group's primary.
"""
