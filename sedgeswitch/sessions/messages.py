"""Message codes of the sessions package."""

from sedgeswitch.sessions.generated import ttypes
from sedgeswitch.transport import catalog

FloorRecord = ttypes.FloorRecord
FloorQuery = ttypes.FloorQuery
FloorAnswer = ttypes.FloorAnswer
RecordFloors = catalog.register_message(50, ttypes.RecordFloors)
RecordFloorsAnswer = catalog.register_message(51, ttypes.RecordFloorsAnswer)
QueryFloors = catalog.register_message(52, ttypes.QueryFloors)
QueryFloorsAnswer = catalog.register_message(53, ttypes.QueryFloorsAnswer)
