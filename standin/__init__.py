"""A simulated database instance and a load tool for tests and benchmarks."""
