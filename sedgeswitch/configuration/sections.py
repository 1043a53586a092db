"""Thrift messages of the configuration section of a heartbeat."""

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
