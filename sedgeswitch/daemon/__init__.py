"""The sedgeswitchd program."""
