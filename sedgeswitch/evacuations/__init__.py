"""Evacuation of availability zones: operators stop all statements to their instances.

The evacuated zones are replicated by the control hosts and distributed to entry hosts
with heartbeats.
"""
