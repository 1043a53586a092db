"""A database proxy with session consistency for small public services."""

# Imported first, so that the time of the other imports counts as uptime.
from sedgeswitch.utils import uptime as uptime

__version__ = "0.1.0"
