"""Relay hosts whose instances are in three availability zones, one of them evacuated.

Instance ``a``, the first primary, is in zone ``zone-a`` and so on.
"""

from sedgeswitch.evacuations import machine
from sedgeswitch.evacuations import sections
from sedgeswitch.forwarding import holder as holders
from sedgeswitch.forwarding.tests import builders as forwarding_builders
from sedgeswitch.relay import connections
from sedgeswitch.relay import open_transactions
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.routing import eligibility
from sedgeswitch.utils import clocks


def get_zone(instance):
    return f"zone-{instance}"


class EntryEvacuations:
    """The evacuations of one entry host, as its heartbeats would receive them."""

    def __init__(self):
        self._machine = machine.EvacuationsMachine()
        self._control = sections.ControlSection(self._machine)
        self.section = sections.EntrySection()
        self.open_transactions = open_transactions.OpenTransactions(
            self.section.get_transaction_end_s
        )

    def change(self, zone, is_start):
        self._machine.apply(1, machine.build_command(zone, is_start))
        now_s = clocks.get_now_s()
        report = self.section.build_report(now_s)
        answer = self._control.answer_report("e1", report, now_s)
        self.section.receive_answer(answer, now_s)

    def evacuate(self, *instances):
        """Start the evacuation of the zones of some instances."""
        for instance in instances:
            self.change(get_zone(instance), True)

    def end(self, *instances):
        for instance in instances:
            self.change(get_zone(instance), False)

    async def end_due(self):
        """Do what the host's maintenance does every 0.1 s."""
        await self.open_transactions.end_due(clocks.get_now_s())

    def extend(self, components):
        """Return the components of a host with these evacuations."""
        return components._replace(
            get_restrictions=lambda: eligibility.Restrictions(self.section.zones),
            open_transactions=self.open_transactions,
        )


def spread_instances(world):
    """Announce each instance of a world in an availability zone of its own."""
    for name, server in list(world.servers.servers.items()):
        world.servers.servers[name] = server._replace(availability_zone=get_zone(name))
    world.servers._by_group = {}


class World(relay_builders.World):
    """One entry host with evacuations; see `relay.tests.builders.World`."""

    def __init__(self, **options):
        super().__init__(**options)
        spread_instances(self)
        self.evacuations = EntryEvacuations()
        self.components = self.evacuations.extend(self.components)

    def count_ran(self, instance):
        """Return how many statements have reached an instance."""
        return len(self.instances[instance].ran)


class Fleet(forwarding_builders.Fleet):
    """Hosts that forward statements; each has its own view of evacuations."""

    def __init__(self, **options):
        super().__init__(**options)
        spread_instances(self.world)
        self.evacuations = {}
        for host_id, host in self.hosts.items():
            evacuations = self.evacuations[host_id] = EntryEvacuations()
            host.components = evacuations.extend(host.components)
            local = connections.PoolConnector(host.backends)
            host.holder = holders.Holder(host.components._replace(connector=local))
