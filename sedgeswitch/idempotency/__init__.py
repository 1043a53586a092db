"""At most one run of a request that must not be repeated."""
