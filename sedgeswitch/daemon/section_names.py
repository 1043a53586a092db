"""Names of the sections of heartbeats that entry and control hosts share."""

# Also names a replicated state machine.
GROUPS = "groups"
DIRECTORY = "directory"
MEMBERS = "members"
SHARES = "shares"
CONTROL_HOSTS = "control_hosts"
HEALTH = "health"
