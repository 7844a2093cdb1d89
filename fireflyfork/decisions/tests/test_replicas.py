"""Tests that the replicas of services match the contracts."""

import unittest
from dataclasses import replace

from ... import Resources, ServiceContract, ServiceName
from .. import Partition, place, reconcile_replicas
from .builders_tasks import TEAM, make_partition

DESK = ServiceName("booking-desk")


def with_replicas(partition: Partition, replicas: int) -> Partition:
    """Return the partition with a service contract for ``replicas`` replicas."""
    contract = ServiceContract(DESK, TEAM, 5.0, replicas=replicas, resources=Resources(1000, 1000))
    return replace(partition, services={DESK: contract})


def open_replicas(partition: Partition) -> int:
    """Return the number of replicas that have neither ended nor been cancelled."""
    jobs = partition.table.jobs.values()
    return sum(bool(job.open_count and not job.cancelled) for job in jobs)


class ReplicasTest(unittest.TestCase):
    """The number of replicas equals the number in the contract."""

    def test_replicas_follow_the_contract(self) -> None:
        """An operator changes the number of replicas; a repeated round makes no changes."""
        partition = make_partition()
        for replicas in (3, 3, 5, 1, 0, 2):
            with self.subTest(replicas=replicas):
                step = reconcile_replicas(with_replicas(partition, replicas), 0, 1, 1.0)
                partition = step.partition
                self.assertEqual(open_replicas(partition), replicas)
                self.assertEqual(reconcile_replicas(partition, 0, 1, 2.0).changes, ())

    def test_partitions_share_replicas(self) -> None:
        """The replicas of three partitions add up to the number in the contract."""
        for replicas in range(8):
            held = [
                open_replicas(
                    reconcile_replicas(
                        with_replicas(make_partition(), replicas), n, 3, 1.0
                    ).partition
                )
                for n in range(3)
            ]
            self.assertEqual(sum(held), replicas)

    def test_replicas_are_placed_and_exempt_from_quota(self) -> None:
        """A team's batch quota must not prevent its services from running."""
        partition = reconcile_replicas(with_replicas(make_partition(), 6), 0, 1, 1.0).partition
        placed = place(partition, 2.0).partition
        placed = place(placed, 3.0).partition
        self.assertEqual(len(tuple(placed.table.tasks_holding_reservation())), 6)
        self.assertEqual(placed.table.team_reserved, {})
