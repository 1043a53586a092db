"""Randomised fault tests of the real programs, run as processes on one machine.

``python -m soak --seeds 1-3``; see docs/SOAK.md.
"""
