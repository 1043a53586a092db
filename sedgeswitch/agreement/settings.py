"""Settings of a host of the replicated log."""

import typing

from sedgeswitch.utils import checks

VOTER_COUNTS = (3, 5, 7)


class VoterAddress(typing.NamedTuple):
    """A host that a new cluster starts with."""

    id: str
    host: str
    port: int


class NodeSettings(typing.NamedTuple):
    """Settings of a host of the replicated log.

    Attributes
    ----------
    node_id : str
        Name of this host, unique in the cluster.
    bootstrap_voters : tuple of VoterAddress
        The 3, 5 or 7 hosts of a cluster that is to be started, this one among
        them; empty on a host that joins a running cluster. Safe to leave in
        place: a host whose disk is empty while the others hold a log does not
        start a cluster.
    heartbeat_interval_s : float
    election_timeout_min_s, election_timeout_max_s : float
        An election starts when no leader was heard for a random time between
        these; voters refuse candidates for the shorter one, on which the
        leader's lease rests: it must be the same on all hosts.
    drift_margin_s : float
        What the leader's lease is shorter than the shorter election timeout.
    snapshot_every_entries : int
        How many applied entries lead to a snapshot.
    retained_entries : int
        How many entries before a snapshot are kept for hosts slightly behind.
    max_batch_bytes : int
        Size of the entries, or of the piece of a snapshot, in one message.
    max_inflight_proposals : int
        Proposals beyond this number wait.
    """

    node_id: str
    bootstrap_voters: tuple[VoterAddress, ...] = ()
    heartbeat_interval_s: float = 0.15
    election_timeout_min_s: float = 0.6
    election_timeout_max_s: float = 1.2
    drift_margin_s: float = 0.05
    snapshot_every_entries: int = 200
    retained_entries: int = 50
    max_batch_bytes: int = 256 * 1024
    max_inflight_proposals: int = 256


def check_settings(settings: NodeSettings) -> NodeSettings:
    """Return the settings if they are sound.

    Raises
    ------
    checks.CheckError
        If a field holds a value that is not allowed.
    """
    checks.check_name("node_id", settings.node_id)
    _check_bootstrap(settings)
    checks.check_range("heartbeat_interval_s", settings.heartbeat_interval_s, 0.001)
    shortest_s = 2 * settings.heartbeat_interval_s + settings.drift_margin_s
    checks.check_range("drift_margin_s", settings.drift_margin_s, 0.0)
    timeout_min_s = settings.election_timeout_min_s
    checks.check_range("election_timeout_min_s", timeout_min_s, shortest_s)
    timeout_max_s = settings.election_timeout_max_s
    checks.check_range("election_timeout_max_s", timeout_max_s, timeout_min_s)
    checks.check_range("snapshot_every_entries", settings.snapshot_every_entries, 1)
    checks.check_range("retained_entries", settings.retained_entries, 0)
    checks.check_range("max_batch_bytes", settings.max_batch_bytes, 1)
    checks.check_range("max_inflight_proposals", settings.max_inflight_proposals, 1)
    return settings


def _check_bootstrap(settings: NodeSettings) -> None:
    ids = [voter.id for voter in settings.bootstrap_voters]
    if not ids:
        return
    checks.check_choice("bootstrap_voters (count)", len(set(ids)), VOTER_COUNTS)
    if len(set(ids)) != len(ids):
        raise checks.CheckError("bootstrap_voters", "distinct ids", ids)
    checks.check_choice("node_id", settings.node_id, ids)
