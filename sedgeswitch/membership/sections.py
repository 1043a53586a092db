"""Sections: the parts of a heartbeat that other packages provide.

A section carries one package's report from an entry host to the leader, and the
leader's answer back, for example the directory or the draining of backend servers.
"""

import typing


class EntrySection(typing.Protocol):
    """The entry host's side of a section."""

    def build_report(self, now_s: float) -> bytes:
        """Return the encoded report for the next heartbeat."""

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Process the leader's encoded answer to the report."""


class ControlSection(typing.Protocol):
    """The leader's side of a section."""

    def start_leadership(self, now_s: float) -> None:
        """Discard state in memory that an earlier leadership of this host left."""

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Process an entry host's report and return the encoded answer."""

    def get_version(self) -> int:
        """Return the section's version.

        A change of it is reported at once to the entry hosts that watch.
        """
