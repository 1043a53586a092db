"""The message types of the replicated log, registered in the catalogue."""

from sedgeswitch.agreement.generated import ttypes
from sedgeswitch.transport import catalog

IdentifyRequest = catalog.register_message(10, ttypes.IdentifyRequest)
IdentifyReply = catalog.register_message(11, ttypes.IdentifyReply)
VoteRequest = catalog.register_message(12, ttypes.VoteRequest)
VoteReply = catalog.register_message(13, ttypes.VoteReply)
HeartbeatRequest = catalog.register_message(14, ttypes.HeartbeatRequest)
HeartbeatReply = catalog.register_message(15, ttypes.HeartbeatReply)
AppendRequest = catalog.register_message(16, ttypes.AppendRequest)
AppendReply = catalog.register_message(17, ttypes.AppendReply)
SnapshotRequest = catalog.register_message(18, ttypes.SnapshotRequest)
SnapshotReply = catalog.register_message(19, ttypes.SnapshotReply)
LogEntry = ttypes.LogEntry
JoinRequest = catalog.register_message(100, ttypes.JoinRequest)
JoinReply = catalog.register_message(101, ttypes.JoinReply)
