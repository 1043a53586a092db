"""The replicated configuration and its distribution to entry hosts as deltas."""
