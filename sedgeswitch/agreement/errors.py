"""Errors of the replicated log."""


class AgreementError(Exception):
    """Base of all errors of the replicated log."""


class NotLeaderError(AgreementError):
    """The request has not run, because this host is not the leader.

    Parameters
    ----------
    leader_id : str or None
        The leader last recorded on this host; None if there is none.
    """

    def __init__(self, leader_id: str | None):
        super().__init__(f"not run: the leader is {leader_id}")
        self.leader_id = leader_id


class OverloadedError(NotLeaderError):
    """The request has not run, because too many proposals are in flight.

    It is a subclass of `NotLeaderError` so that callers that handle requests that
    have not run handle both; `leader_id` names this host.
    """


class OutcomeUnknownError(AgreementError):
    """The request may have run, or may still run later."""


class UnknownStateMachineError(AgreementError):
    """No state machine is registered under the name in the command.

    Parameters
    ----------
    machine_name : str
    """

    def __init__(self, machine_name: str):
        super().__init__(f"no state machine is registered as {machine_name!r}")
        self.machine_name = machine_name


class StateMachineFailedError(AgreementError):
    """A state machine raised an exception; the command is committed in the log."""


class ChangeInProgressError(AgreementError):
    """The voters cannot be changed until their previous change is committed."""


class ReplacementError(AgreementError):
    """A voter cannot be added or replaced as requested; nothing has been changed."""


class StorageError(AgreementError):
    """The stored log cannot be read or written."""


class LogConflictError(AgreementError):
    """A leader has sent an entry that conflicts with an entry committed here."""
