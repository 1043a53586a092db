"""Typed messages between sedgeswitch processes."""
