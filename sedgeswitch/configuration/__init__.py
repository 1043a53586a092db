"""The replicated configuration and its distribution to entry hosts as deltas.

It is the configuration of ``sedgeswitchd``, which operators change by operations on
single items. On the users' platform, operators replace a document as a whole instead;
see `sedgeswitch.databases`.
"""
