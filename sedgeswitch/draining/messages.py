"""Message codes of the draining package."""

from sedgeswitch.draining.generated import ttypes
from sedgeswitch.transport import catalog

DrainReport = catalog.register_message(90, ttypes.DrainReport)
DrainAnswer = catalog.register_message(91, ttypes.DrainAnswer)
