"""Sections: what a slice adds to the heartbeat between entry host and leader."""

import typing


class EntrySection(typing.Protocol):
    """The entry host's side of a section."""

    def build_report(self, now_s: float) -> bytes:
        """Return what the next heartbeat reports."""

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Take in what the leader answered."""


class ControlSection(typing.Protocol):
    """The leader's side of a section."""

    def start_leadership(self, now_s: float) -> None:
        """Drop the soft state of an earlier leadership."""

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Return the answer to an entry host's report."""

    def get_version(self) -> int:
        """Return a version whose change entry hosts must learn at once."""
