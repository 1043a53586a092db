"""Message codes of the evacuations package."""

from sedgeswitch.evacuations.generated import ttypes
from sedgeswitch.transport import catalog

Command = catalog.register_message(120, ttypes.Command)
CommandResult = catalog.register_message(121, ttypes.CommandResult)
Snapshot = catalog.register_message(122, ttypes.Snapshot)
Report = catalog.register_message(123, ttypes.Report)
Evacuation = catalog.register_message(124, ttypes.Evacuation)
Answer = catalog.register_message(125, ttypes.Answer)
