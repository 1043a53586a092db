"""Message types of the configuration document."""

from sedgeswitch.databases.generated import ttypes

Replace = ttypes.Replace
ReplaceResult = ttypes.ReplaceResult
Snapshot = ttypes.Snapshot
Report = ttypes.Report
Answer = ttypes.Answer
