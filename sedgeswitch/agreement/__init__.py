"""The replicated log of the control hosts: an implementation of Raft."""
