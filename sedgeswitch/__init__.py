"""A database proxy with session consistency for small public services."""

# Imported first, so that the uptime includes the time for the other imports.
from sedgeswitch.utils import uptime as uptime

__version__ = "0.1.0"
