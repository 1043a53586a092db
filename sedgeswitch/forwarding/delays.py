"""Delays of instances as seen in the answers of their holders."""

import typing

# Time that a statement takes, assumed for an instance without recent answers, in
# seconds.
DEFAULT_SERVICE_S = 0.02
# Weight of the newest sample in the moving average.
NEW_SAMPLE_WEIGHT = 0.3
# Time after which half of the difference from the default is forgotten, so that an
# instance that was slow is tried again, in seconds.
HALF_LIFE_S = 1.0


class _Average(typing.NamedTuple):
    service_s: float
    updated_s: float


class ServiceDelays:
    """Moving averages of the time that holders take to answer, by instance."""

    def __init__(self):
        self._averages: dict[str, _Average] = {}

    def record(self, instance: str, service_s: float, now_s: float) -> None:
        """Add the time that one statement took at the holder and the instance."""
        present_s = self.get_service_s(instance, now_s)
        average_s = present_s + NEW_SAMPLE_WEIGHT * (service_s - present_s)
        self._averages[instance] = _Average(average_s, now_s)

    def get_service_s(self, instance: str, now_s: float) -> float:
        """Return the expected time of a statement in seconds."""
        average = self._averages.get(instance)
        if average is None:
            return DEFAULT_SERVICE_S
        remaining = 0.5 ** ((now_s - average.updated_s) / HALF_LIFE_S)
        return DEFAULT_SERVICE_S + remaining * (average.service_s - DEFAULT_SERVICE_S)
