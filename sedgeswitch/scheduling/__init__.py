"""Scheduling of statements where the slots of an instance are scarce."""
