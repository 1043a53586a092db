"""Tests of the placement of the replicas of session floors."""

import unittest

import hypothesis
import xxhash
from hypothesis import strategies

from sedgeswitch.membership import machine
from sedgeswitch.sessions import placement


def _build_members(zones):
    return [
        machine.Member(f"e{number}", "1", zone, "127.0.0.1", 1)
        for number, zone in enumerate(zones)
    ]


def _place_plainly(bucket, members):
    """Place one bucket by the definition: zones in turn, by descending weight."""

    def get_weight(member):
        return xxhash.xxh64_intdigest(f"{bucket}/{member.host_id}".encode())

    left = sorted(members, key=get_weight, reverse=True)
    replicas = []
    while left:
        zones = set()
        for member in list(left):
            if member.availability_zone not in zones:
                zones.add(member.availability_zone)
                replicas.append(member)
                left.remove(member)
    return tuple(replicas[: placement.REPLICA_COUNT])


class PlacementTest(unittest.TestCase):
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(strategies.sampled_from("abcd"), max_size=12))
    def test_replicas_are_hosts_of_highest_weight_from_zones_in_turn(self, zones):
        members = _build_members(zones)
        current_placement = placement.build_placement(1, members)
        for bucket, replicas in enumerate(current_placement.replicas):
            self.assertEqual(replicas, _place_plainly(bucket, members))


if __name__ == "__main__":
    unittest.main()
