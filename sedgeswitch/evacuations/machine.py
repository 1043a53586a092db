"""The replicated state machine of evacuated availability zones."""

import collections.abc

from sedgeswitch.evacuations import messages
from sedgeswitch.transport import catalog
from sedgeswitch.utils import clocks

# Also names the section of heartbeats.
NAME = "evacuations"


class EvacuationsMachine:
    """State machine of the evacuated zones, with a version that never decreases.

    Parameters
    ----------
    get_now_s : callable, optional
        Returns the time of this host's clock in seconds.

    Attributes
    ----------
    version : int
        Increases with each change; 0 if there was none.
    applied_s : dict of str to float
        Time at which this host applied the start of each evacuation in force, by
        zone. It is not replicated: a host that restarts applies the log again.
    """

    def __init__(
        self, get_now_s: collections.abc.Callable[[], float] = clocks.get_now_s
    ):
        self._get_now_s = get_now_s
        self.version = 0
        self.applied_s: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self.applied_s)

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Start or end an evacuation; a repeated command changes nothing."""
        command = catalog.decode_struct(messages.Command, body)
        is_changed = command.is_start != (command.zone in self.applied_s)
        if is_changed:
            self.version += 1
            if command.is_start:
                self.applied_s[command.zone] = self._get_now_s()
            else:
                del self.applied_s[command.zone]
        return catalog.encode_struct(messages.CommandResult(is_changed, self.version))

    def save_snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        snapshot = messages.Snapshot(self.version, sorted(self.applied_s))
        return catalog.encode_struct(snapshot)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by a snapshot from `save_snapshot`."""
        snapshot = catalog.decode_struct(messages.Snapshot, body)
        now_s = self._get_now_s()
        self.version = snapshot.version
        self.applied_s = {
            zone: self.applied_s.get(zone, now_s) for zone in snapshot.zones
        }


def build_command(zone: str, is_start: bool) -> bytes:
    """Return the encoded command that starts or ends the evacuation of a zone."""
    return catalog.encode_struct(messages.Command(zone, is_start))


def decode_result(body: bytes) -> messages.CommandResult:
    """Decode the result of a command."""
    return catalog.decode_struct(messages.CommandResult, body)
