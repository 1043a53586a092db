"""Message codes of the membership package."""

from sedgeswitch.membership.generated import ttypes
from sedgeswitch.transport import catalog

Heartbeat = catalog.register_message(20, ttypes.Heartbeat)
HeartbeatAnswer = catalog.register_message(21, ttypes.HeartbeatAnswer)
Watch = catalog.register_message(22, ttypes.Watch)
WatchAnswer = catalog.register_message(23, ttypes.WatchAnswer)
Announcement = catalog.register_message(24, ttypes.Announcement)
DirectoryReport = catalog.register_message(25, ttypes.DirectoryReport)
DirectoryAnswer = catalog.register_message(26, ttypes.DirectoryAnswer)
MemberCommand = catalog.register_message(27, ttypes.MemberCommand)
Members = catalog.register_message(28, ttypes.Members)
ServerCommand = ttypes.ServerCommand
Servers = ttypes.Servers
