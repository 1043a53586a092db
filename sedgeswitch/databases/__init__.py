"""The configuration document of databases, groups and organisations.

Operators replace the document as a whole. It is replicated among the control
hosts and sent to entry hosts with heartbeats.
"""
