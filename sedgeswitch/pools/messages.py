"""Messages that forward callers' requests and assign shares of connections."""

from sedgeswitch.pools.generated import ttypes
from sedgeswitch.transport import catalog

ForwardedRequest = catalog.register_message(80, ttypes.ForwardedRequest)
ForwardedResponse = catalog.register_message(81, ttypes.ForwardedResponse)
ShareReport = catalog.register_message(82, ttypes.ShareReport)
ShareAnswer = catalog.register_message(83, ttypes.ShareAnswer)
