"""Messages of the draw protocol between entry hosts and the control leader."""

from sedgeswitch.admission.generated import ttypes
from sedgeswitch.transport import catalog

DRAW_CODE = 40
DRAW_REPLY_CODE = 41

BucketMemory = ttypes.BucketMemory
Draw = catalog.register_message(DRAW_CODE, ttypes.Draw)
DrawReply = catalog.register_message(DRAW_REPLY_CODE, ttypes.DrawReply)
DrawStatus = ttypes.DrawStatus
Grant = ttypes.Grant
Holding = ttypes.Holding
