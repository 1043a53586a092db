"""A stand-in database instance and a load tool for tests and benchmarks."""
