"""Replicas of services follow the contracts."""

import unittest
from dataclasses import replace

from ... import Resources, ServiceContract, ServiceName
from .. import Partition, keep_replicas, place
from .builders_tasks import TEAM, make_partition

DESK = ServiceName("booking-desk")


def with_replicas(partition: Partition, replicas: int) -> Partition:
    """The partition with a contract for so many replicas."""
    contract = ServiceContract(DESK, TEAM, 5.0, replicas=replicas, resources=Resources(1000, 1000))
    return replace(partition, services={DESK: contract})


def open_replicas(partition: Partition) -> int:
    """Replicas that are neither ended nor cancelled."""
    jobs = partition.table.jobs.values()
    return sum(bool(job.open_count and not job.cancelled) for job in jobs)


class ReplicasTest(unittest.TestCase):
    """As many as the contract says, and no more."""

    def test_up_and_down(self) -> None:
        """An operator changes the number of replicas; repeating the round changes nothing."""
        partition = make_partition()
        for replicas in (3, 3, 5, 1, 0, 2):
            with self.subTest(replicas=replicas):
                step = keep_replicas(with_replicas(partition, replicas), 0, 1, 1.0)
                partition = step.partition
                self.assertEqual(open_replicas(partition), replicas)
                self.assertEqual(keep_replicas(partition, 0, 1, 2.0).changes, ())

    def test_partitions_share_them(self) -> None:
        """Three partitions together hold as many as the contract says."""
        for replicas in range(8):
            held = [
                open_replicas(
                    keep_replicas(with_replicas(make_partition(), replicas), n, 3, 1.0).partition
                )
                for n in range(3)
            ]
            self.assertEqual(sum(held), replicas)

    def test_they_are_placed_and_count_against_no_quota(self) -> None:
        """A team's batch quota must not keep its services from running."""
        partition = keep_replicas(with_replicas(make_partition(), 6), 0, 1, 1.0).partition
        placed = place(partition, 2.0).partition
        placed = place(placed, 3.0).partition
        self.assertEqual(len(tuple(placed.table.holding())), 6)
        self.assertEqual(placed.table.team_reserved, {})
