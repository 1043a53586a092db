"""The configuration document of databases, groups and organisations.

It is the configuration of a fleet on the users' platform. Operators replace the
document as a whole. It is replicated among the control hosts and sent to entry hosts
with heartbeats. The configuration of ``sedgeswitchd``, which operators change item by
item, is in `sedgeswitch.configuration`.
"""
