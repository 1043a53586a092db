"""Messages between the host of a caller and the holders of connections."""

from sedgeswitch.forwarding.generated import ttypes
from sedgeswitch.transport import catalog

ForwardRequest = catalog.register_message(110, ttypes.ForwardRequest)
ForwardAnswer = catalog.register_message(111, ttypes.ForwardAnswer)
AdmitRequest = catalog.register_message(112, ttypes.AdmitRequest)
AdmitAnswer = catalog.register_message(113, ttypes.AdmitAnswer)
InstanceLoad = ttypes.InstanceLoad
Operation = ttypes.Operation
Outcome = ttypes.Outcome
