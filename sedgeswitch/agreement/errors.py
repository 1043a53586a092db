"""Errors of the replicated log."""


class AgreementError(Exception):
    """Base of all errors of the replicated log."""


class NotLeaderError(AgreementError):
    """The request has not run, since this host does not lead.

    Parameters
    ----------
    leader_id : str or None
        The host that leads, as far as this host knows.
    """

    def __init__(self, leader_id: str | None):
        super().__init__(f"not run: the leader is {leader_id}")
        self.leader_id = leader_id


class OverloadedError(NotLeaderError):
    """The request has not run, since too many proposals are in flight.

    It is a `NotLeaderError` so that callers that handle "not run" handle both;
    `leader_id` names this host.
    """


class OutcomeUnknownError(AgreementError):
    """The request may have run, now or later."""


class UnknownStateMachineError(AgreementError):
    """No state machine is registered under the command's slice name.

    Parameters
    ----------
    machine_name : str
    """

    def __init__(self, machine_name: str):
        super().__init__(f"no state machine is registered as {machine_name!r}")
        self.machine_name = machine_name


class StateMachineFailedError(AgreementError):
    """A state machine raised an exception; the command is in the log."""


class ChangeInProgressError(AgreementError):
    """The voters cannot be changed before their last change is committed."""


class ReplacementError(AgreementError):
    """A voter cannot be replaced as asked; nothing has been changed."""


class StorageError(AgreementError):
    """The stored log cannot be read or written."""


class LogConflictError(AgreementError):
    """A leader contradicts an entry that is committed here."""
