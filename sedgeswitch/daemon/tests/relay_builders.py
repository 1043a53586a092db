"""Hosts of a relay fleet whose configuration and servers are set by a test."""

import random
import types

from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.daemon import relay_control
from sedgeswitch.daemon import relay_entry
from sedgeswitch.daemon import relay_groups
from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as database_machine
from sedgeswitch.databases import messages
from sedgeswitch.groups import machine
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory
from sedgeswitch.membership import messages as membership_messages
from sedgeswitch.observability import metrics
from sedgeswitch.transport import catalog
from sedgeswitch.transport import peer
from sedgeswitch.transport import server

GROUP = "lots"
REGIONS = {"bagmati-a": "bagmati", "koshi-a": "koshi", "koshi-b": "koshi"}


def build_server(instance, zone, **changes):
    built = directory.BackendServer(
        instance, GROUP, "10.0.0.9", 80, zone, {}, 3, 34, False
    )
    return built._replace(**changes)


def build_document(
    version=1,
    regions_by_database=types.MappingProxyType({}),
    cold_start_s=0.0,
    cold_rate_per_s=0.0,
):
    """Return a document in which each database allows the given regions."""
    databases = {
        name: documents.Database(
            name,
            name,
            GROUP,
            documents.Freshness.BOUNDED,
            1.0,
            0.4,
            allowed_regions=tuple(regions),
        )
        for name, regions in regions_by_database.items()
    }
    group = documents.Group(GROUP, 34, 1, cold_start_s, cold_rate_per_s)
    return documents.Document(version, databases, {GROUP: group})


def build_control(folder, document, servers, primary):
    """Return a leader with one group of the given servers."""
    options = relay_control.ControlOptions(
        agreement_settings.NodeSettings("control-1", ()),
        folder,
        4.0,
        groups_settings.GroupSettings(),
        relay_groups.Tolerance(),
        peer.Address("127.0.0.1", 7560),
        {},
        3,
        1.0,
        region_by_zone=REGIONS,
    )
    control = relay_control.RelayControl(
        options,
        lambda text: document,  # noqa: ARG005
        None,
        server.Server(),
        None,
        metrics.Metrics(),
        random.Random(1),
    )
    control.view = types.SimpleNamespace(document=document)
    control.node.get_leadership = lambda now_s: True  # noqa: ARG005
    for item in servers:
        control.directory.record_announcement(item, 0.0)
    names = [item.instance for item in servers]
    command = ttypes.RegisterGroup(GROUP, primary, 1, names)
    control.groups.apply(1, machine.encode_command(command))
    return control


def build_entry(document, driver=None, decode=None):
    """Return an entry host that has received a document but no servers.

    With `decode`, the document is a text that this function decodes.
    """
    options = relay_entry.EntryOptions(
        "host-1",
        "bagmati-a",
        peer.Address("127.0.0.1", 7561),
        {},
        0.5,
        groups_settings.GroupSettings(),
        relay_groups.Tolerance(),
        REGIONS,
    )
    entry = relay_entry.RelayEntry(
        options,
        decode or (lambda text: document),  # noqa: ARG005
        driver,
        server.Server(),
        random.Random(1),
    )
    if decode is not None:
        receive_text(entry, decode(document).version, document)
    else:
        receive_text(entry, document.version, b"x")
    return entry


def receive_text(entry, version, text):
    """Give an entry host the text of a document, as an answer of the leader does."""
    answer = messages.Answer(version, database_machine.compress_text(text))
    entry.databases.receive_answer(catalog.encode_struct(answer), 0.0)


def announce(entry, *servers):
    """Give an entry host the full directory, as an answer of the leader does."""
    upserts = [directory.build_message(item) for item in servers]
    answer = membership_messages.DirectoryAnswer(1, 1, True, upserts, [], [])
    entry.directory.receive_answer(catalog.encode_struct(answer), 0.0)
