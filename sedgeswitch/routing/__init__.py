"""Choice of the instance that runs a statement."""
