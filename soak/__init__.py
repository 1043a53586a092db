"""A randomized fault soak of the real programs as processes on one machine.

``python -m soak --seeds 1-3``; see docs/SOAK.md.
"""
