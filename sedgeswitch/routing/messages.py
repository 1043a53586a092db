"""Sections of heartbeats that distribute the verdicts of holders."""

from sedgeswitch.routing.generated import ttypes

HealthReport = ttypes.HealthReport
HealthAnswer = ttypes.HealthAnswer
