"""Thrift messages of the configuration section of a heartbeat.

A section is the part of a heartbeat, and of the answer to it, that belongs to one
subsystem.
"""

from sedgeswitch.configuration.generated import ttypes
from sedgeswitch.transport import catalog

CONFIGURATION_REPORT_CODE = 30
CONFIGURATION_ANSWER_CODE = 31

ConfigurationReport = catalog.register_message(
    CONFIGURATION_REPORT_CODE, ttypes.ConfigurationReport
)
ConfigurationAnswer = catalog.register_message(
    CONFIGURATION_ANSWER_CODE, ttypes.ConfigurationAnswer
)
Delta = ttypes.Delta
