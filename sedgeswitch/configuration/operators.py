"""Requests of operators, served by the leader of the control hosts.

`operator_routes` maps HTTP requests to these functions.
"""

import typing

from sedgeswitch import verdicts
from sedgeswitch.configuration import changes
from sedgeswitch.configuration import distributor as distributors
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import machine as machines
from sedgeswitch.evacuations import operations as evacuation_operations
from sedgeswitch.keys import lookup
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

NOT_LEADER_STATUS = 421
NOT_LEADER_CODE = "not_leader"

StatusProvider = typing.Callable[[float], typing.Sequence[typing.Any]]


class Services(typing.NamedTuple):
    """The parts of the control daemon that the functions of this module use.

    Attributes
    ----------
    machine : machine.ConfigurationMachine
    distributor : distributor.Distributor
    propose : async callable
        ``await propose(body)`` appends a change to the replicated log and returns
        the answer of the state machine; raises `verdicts.RefusedError`.
    is_leader : callable
        ``is_leader(now_s)`` returns whether this host is the confirmed leader.
    get_leader_address : callable
        Returns ``host:http_port`` of the leader, or None if the leader is unknown.
    list_entry_hosts : callable
        ``list_entry_hosts(now_s)`` returns the ids of the entry hosts that may
        hold a lease.
    status_providers : mapping of str to callable
        By kind of status: ``provider(now_s)`` returns its rows, as records or
        dictionaries.
    move_primary : async callable
        ``await move_primary(group, instance)`` returns once the primary has
        moved; raises `verdicts.RefusedError`.
    replace_voter : async callable
        ``await replace_voter(old, new, address)`` returns once the new control
        host has replaced the old one; raises `verdicts.RefusedError`.
    evacuations : evacuations.operations.Operations
    operator_token_digest : str or None
        SHA-256 digest of the operators' token; None if no token is required.
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
    evacuations: evacuation_operations.Operations
    operator_token_digest: str | None = None


class ConfigurationView(typing.NamedTuple):
    """The current configuration; it contains digests instead of keys."""

    version: int
    document: documents.Document


class StatusView(typing.NamedTuple):
    """The status of all items of one kind, such as groups or entry hosts.

    Attributes
    ----------
    kind : str
    version : int
        Current version of the configuration.
    rows : tuple of dict
        One dictionary per item.
    """

    kind: str
    version: int
    rows: tuple[typing.Any, ...]


class MovePrimary(typing.NamedTuple):
    """A request to make an instance the primary of its group."""

    group: records.Name
    instance: records.Name


class Evacuation(typing.NamedTuple):
    """The evacuation of an availability zone.

    Attributes
    ----------
    zone : str
    is_evacuated : bool
        Whether the evacuation is in force.
    """

    zone: str
    is_evacuated: bool


class EvacuationsView(typing.NamedTuple):
    """The evacuated availability zones, sorted by name."""

    zones: tuple[str, ...]


class ReplaceVoter(typing.NamedTuple):
    """A request to replace a control host by a new one.

    Attributes
    ----------
    old : str
        Host id of the control host to remove.
    new : str
        Host id of the control host to add.
    address : str
        ``host:port`` at which the new host receives messages of other daemons.
    """

    old: records.Name
    new: records.Name
    address: str


def check_leader(services: Services, now_s: float) -> None:
    """Raise an error unless this host is the confirmed leader.

    Raises
    ------
    RefusedError
        With status 421 (Misdirected Request); the client should then use
        `Services.get_leader_address`.
    """
    if not services.is_leader(now_s):
        raise verdicts.build_not_run(
            NOT_LEADER_STATUS, NOT_LEADER_CODE, "this host is not the leader"
        )


def check_operator(services: Services, authorization: str | None) -> None:
    """Raise an error unless the header contains the operators' token.

    Raises
    ------
    RefusedError
        With status 401 (Unauthorized).
    """
    if not lookup.is_operator(services.operator_token_digest, authorization):
        raise verdicts.build_not_run(
            401, "operator_token_required", "the operators' token is missing or wrong"
        )


async def read_configuration(services: Services, now_s: float) -> ConfigurationView:
    """Return the current configuration.

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
    """Propose a change and return the answer of the replicated state machine.

    Raises
    ------
    RefusedError
        If this host is not the leader or the outcome is unknown. In the second case
        the client gets the outcome by sending the change again with the same
        request id.
    """
    check_leader(services, now_s)
    body = changes.encode_change(change)
    return changes.decode_answer(await services.propose(body))


async def read_in_force(services: Services, now_s: float) -> distributors.InForce:
    """Return on which entry hosts the newest version is in force.

    Raises
    ------
    RefusedError
        If this host is not the leader.
    """
    check_leader(services, now_s)
    host_ids = services.list_entry_hosts(now_s)
    return services.distributor.get_in_force(host_ids, now_s)


async def read_status(services: Services, kind: str, now_s: float) -> StatusView:
    """Return the status of all items of one kind.

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
    """Move the primary of a group and return the request.

    Raises
    ------
    CheckError
        If the group is unknown.
    RefusedError
        If this host is not the leader or the primary cannot be moved.
    """
    check_leader(services, now_s)
    checks.check_choice("group", request.group, services.machine.document.groups)
    await services.move_primary(request.group, request.instance)
    return request


async def replace_voter(
    services: Services, request: ReplaceVoter, now_s: float
) -> ReplaceVoter:
    """Replace a control host and return the request.

    Raises
    ------
    RefusedError
        If this host is not the leader or the control host cannot be replaced.
    """
    check_leader(services, now_s)
    await services.replace_voter(request.old, request.new, request.address)
    return request


async def list_evacuations(services: Services, now_s: float) -> EvacuationsView:
    """Return the evacuated availability zones.

    Raises
    ------
    RefusedError
        If this host is not the leader.
    """
    check_leader(services, now_s)
    return EvacuationsView(tuple(await services.evacuations.list_evacuated()))


async def change_evacuation(
    services: Services, request: Evacuation, now_s: float
) -> Evacuation:
    """Start or end the evacuation of an availability zone and return the request.

    Raises
    ------
    RefusedError
        If this host is not the leader, the zone is unknown or the outcome is unknown.
    """
    check_leader(services, now_s)
    if request.is_evacuated:
        await services.evacuations.start(request.zone)
    else:
        await services.evacuations.end(request.zone)
    return request
