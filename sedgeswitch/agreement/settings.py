"""Settings of a host of the replicated log."""

import typing

from sedgeswitch.utils import checks

VOTER_COUNTS = (3, 5, 7)


class VoterAddress(typing.NamedTuple):
    """Id and address of one of the first voters of a new cluster."""

    id: str
    host: str
    port: int


class NodeSettings(typing.NamedTuple):
    """Settings of a host of the replicated log.

    Attributes
    ----------
    node_id : str
        Id of this host, unique in the cluster.
    bootstrap_voters : tuple of VoterAddress
        The 3, 5 or 7 first voters of a new cluster, this host among them; empty
        on a host that joins a running cluster. The setting may stay after the
        cluster was bootstrapped: a host with an empty disk does not bootstrap
        another cluster while other hosts hold a log.
    heartbeat_interval_s : float
        Interval between the leader's heartbeats.
    election_timeout_min_s, election_timeout_max_s : float
        Minimum and maximum election timeout: a follower starts an election after a
        random time between these without contact with a leader. Voters reject
        candidates within the minimum after contact with a leader. The leader's
        lease relies on this rejection, so the minimum must be the same on all
        hosts.
    drift_margin_s : float
        Difference between the minimum election timeout and the leader's lease,
        which allows for clocks that run at different rates.
    snapshot_every_entries : int
        A snapshot is taken once this many entries were applied after the last one.
    retained_entries : int
        Number of entries kept before a snapshot, so that hosts that are slightly
        behind need no snapshot.
    max_batch_bytes : int
        Maximum size of the entries, or of the snapshot chunk, in one message. A
        single larger entry is sent alone.
    max_inflight_proposals : int
        Maximum number of proposals in flight; further ones wait.
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
    """Return the settings if they are valid.

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
