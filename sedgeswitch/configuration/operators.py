"""What operators may ask of the leader of the control hosts.

`operator_routes` maps HTTP requests to these functions.
"""

import typing

from sedgeswitch import verdicts
from sedgeswitch.configuration import changes
from sedgeswitch.configuration import distributor as distributors
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import machine as machines
from sedgeswitch.keys import lookup
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

NOT_LEADER_STATUS = 421
NOT_LEADER_CODE = "not_leader"

StatusProvider = typing.Callable[[float], typing.Sequence[typing.Any]]


class Services(typing.NamedTuple):
    """What the operators' functions need of the control daemon.

    Attributes
    ----------
    machine : machine.ConfigurationMachine
    distributor : distributor.Distributor
    propose : async callable
        ``await propose(body)`` puts a change into the replicated log and returns
        the answer of the state machine; raises `verdicts.RefusedError`.
    is_leader : callable
        ``is_leader(now_s)`` tells whether this host is the confirmed leader.
    get_leader_address : callable
        Returns ``host:http_port`` of the leader, or None if it is not known.
    list_entry_hosts : callable
        ``list_entry_hosts(now_s)`` returns the ids of the entry hosts that may
        hold a lease.
    status_providers : mapping of str to callable
        ``provider(now_s)`` returns the rows (records or dictionaries) of one
        kind of status.
    move_primary : async callable
        ``await move_primary(group, instance)`` returns once the primary has
        moved; raises `verdicts.RefusedError`.
    replace_voter : async callable
        ``await replace_voter(old, new, address)``; the same.
    operator_token_digest : str or None
    """

    machine: machines.ConfigurationMachine
    distributor: distributors.Distributor
    propose: typing.Callable[[bytes], typing.Awaitable[bytes]]
    is_leader: typing.Callable[[float], bool]
    get_leader_address: typing.Callable[[], str | None]
    list_entry_hosts: typing.Callable[[float], typing.Collection[str]]
    status_providers: typing.Mapping[str, StatusProvider]
    move_primary: typing.Callable[[str, str], typing.Awaitable[None]]
    replace_voter: typing.Callable[[str, str, str], typing.Awaitable[None]]
    operator_token_digest: str | None = None


class ConfigurationView(typing.NamedTuple):
    """The configuration in force, with digests in place of keys."""

    version: int
    document: documents.Document


class StatusView(typing.NamedTuple):
    """The status of one kind of thing.

    Attributes
    ----------
    kind : str
    version : int
        Version of the configuration that the status is given under.
    rows : tuple of dict
    """

    kind: str
    version: int
    rows: tuple[typing.Any, ...]


class MovePrimary(typing.NamedTuple):
    """Asks that an instance become the primary of its group."""

    group: records.Name
    instance: records.Name


class ReplaceVoter(typing.NamedTuple):
    """Asks that a new control host take the place of an old one.

    Attributes
    ----------
    old : str
    new : str
    address : str
        ``host:port`` of the new host for messages between daemons.
    """

    old: records.Name
    new: records.Name
    address: str


def check_leader(services: Services, now_s: float) -> None:
    """Refuse unless this host is the confirmed leader.

    Raises
    ------
    RefusedError
        With status 421; `Services.get_leader_address` tells where to go.
    """
    if not services.is_leader(now_s):
        raise verdicts.build_not_run(
            NOT_LEADER_STATUS, NOT_LEADER_CODE, "this host is not the leader"
        )


def check_operator(services: Services, authorization: str | None) -> None:
    """Refuse unless the header carries the operators' token.

    Raises
    ------
    RefusedError
        With status 401.
    """
    if not lookup.is_operator(services.operator_token_digest, authorization):
        raise verdicts.build_not_run(
            401, "operator_token_required", "the operators' token is missing or wrong"
        )


async def read_configuration(services: Services, now_s: float) -> ConfigurationView:
    """Return the configuration in force.

    Raises
    ------
    RefusedError
        If this host is not the leader.
    """
    check_leader(services, now_s)
    return ConfigurationView(services.machine.version, services.machine.document)


async def change_configuration(
    services: Services, change: changes.Change, now_s: float
) -> changes.Answer:
    """Propose a change and return the agreed answer.

    Raises
    ------
    RefusedError
        If this host is not the leader or the outcome is not known; the same
        request id finds out.
    """
    check_leader(services, now_s)
    body = changes.encode_change(change)
    return changes.decode_answer(await services.propose(body))


async def read_in_force(services: Services, now_s: float) -> distributors.InForce:
    """Return where the newest version is in force.

    Raises
    ------
    RefusedError
        If this host is not the leader.
    """
    check_leader(services, now_s)
    host_ids = services.list_entry_hosts(now_s)
    return services.distributor.get_in_force(host_ids, now_s)


async def read_status(services: Services, kind: str, now_s: float) -> StatusView:
    """Return the status of one kind of thing.

    Raises
    ------
    CheckError
        If the kind is unknown.
    RefusedError
        If this host is not the leader.
    """
    checks.check_choice("kind", kind, services.status_providers)
    check_leader(services, now_s)
    rows = services.status_providers[kind](now_s)
    version = services.machine.version
    return StatusView(kind, version, tuple(records.to_plain(row) for row in rows))


async def move_primary(
    services: Services, request: MovePrimary, now_s: float
) -> MovePrimary:
    """Move the primary of a group and return what was asked.

    Raises
    ------
    CheckError
        If the group is unknown.
    RefusedError
        If this host is not the leader, or the primary cannot move.
    """
    check_leader(services, now_s)
    checks.check_choice("group", request.group, services.machine.document.groups)
    await services.move_primary(request.group, request.instance)
    return request


async def replace_voter(
    services: Services, request: ReplaceVoter, now_s: float
) -> ReplaceVoter:
    """Replace a control host and return what was asked.

    Raises
    ------
    RefusedError
        If this host is not the leader, or the replacement cannot be made.
    """
    check_leader(services, now_s)
    await services.replace_voter(request.old, request.new, request.address)
    return request
