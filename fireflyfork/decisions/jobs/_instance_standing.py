"""Chooses the instance to own a service by the capacity of each instance.

Instances are unequal. The owner of a service communicates with all of its executors. An owner with
a slow link or a fraction of a processor falls behind, tasks wait for it, and no other instance may
place them. So every instance announces its capacity, the stronger ones bid for a vacant service
first, and an owner that is far weaker than another instance hands its service over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from ..._ids import FailureDomainName, NodeName
from ..._links import Address

LINK_MBPS_PER_PROCESSOR = 40.0
"""Link capacity in Mbit/s that corresponds to one processor. A start, with its share of polls,
costs its owner about 1.5 ms of one processor and 8 KB on the link, so a link of 40 Mbit/s and one
processor are used up at the same rate."""
FAR_STORE_FACTOR = 0.5
"""Factor on the strength of an instance in another region than the store: every write and most
orders take ten times as long, over a link that all traffic shares."""
STRONGER_RATIO = 1.3
"""Ratio of strengths from which an instance waits for another. A bid by an equal instance costs
nothing, and a delay does."""
BID_DELAY_PER_STRONGER = 0.05
"""Delay of a bid in seconds for each stronger instance. One bid takes about 10 ms near the store,
and a failed bid costs two store calls."""
MAX_BID_DELAY = 0.5
"""Longest delay of a bid in seconds. It is bounded because the stronger instances may have failed
together with the owner."""
HAND_OVER_RATIO = 2.5
"""Ratio of strengths from which a service is handed over. A hand-over leaves the service without an
owner for about 0.2 s, so the gain has to be large."""
MIN_EXECUTORS_FOR_RELAYS = 64
"""Number of executors from which an owner uses relays. With fewer, it makes all calls itself, since
a relay adds a hop to each call."""
MIN_RELAYS_PER_DOMAIN = 4
"""Minimum number of relays in each failure domain, the strongest instances. The loss of one affects
a quarter of the calls there."""
EXECUTORS_PER_RELAY = 100
"""Maximum number of executors of a relay, if there are enough instances. After a change of owner a
relay opens its connections within a fraction of the executors' lease."""
SUFFICIENT_STRENGTH = 0.4
"""An owner with at least this strength always keeps its service. Services with 24 to 33 executors
need a quarter of this strength at their peak."""


@dataclass(frozen=True, slots=True)
class InstanceStanding:
    """The capacity and addresses that an instance announces."""

    node: NodeName
    strength: float
    """Capacity in processors available to an owner; see ``strength``."""
    failure_domain: FailureDomainName | None = None
    relay: Address | None = None
    """Address at which the instance relays calls of other owners to executors; None if it relays
    none."""
    replica: Address | None = None
    """Address at which the instance serves a replica of the operator's keys; None if it has
    none."""
    near_store: bool = False
    """Whether the instance is in the same region as the store."""


def strength(processors: float, link_mbps: float, near_store: bool) -> float:
    """Return the capacity of an instance as an owner, in processors.

    ``processors`` is its share of CPU time in units of one processor of usual speed.
    """
    capacity = min(processors, link_mbps / LINK_MBPS_PER_PROCESSOR)
    return capacity if near_store else capacity * FAR_STORE_FACTOR


def bid_delay(own: InstanceStanding, announced: Iterable[InstanceStanding]) -> float:
    """Return how many seconds an instance leaves a vacant service to stronger instances."""
    stronger = sum(
        standing.strength > own.strength * STRONGER_RATIO
        for standing in announced
        if standing.node != own.node
    )
    return min(MAX_BID_DELAY, stronger * BID_DELAY_PER_STRONGER)


def has_stronger(own: InstanceStanding, others: Iterable[InstanceStanding], equals: bool) -> bool:
    """Whether another instance is clearly stronger, or, with ``equals``, at least as strong."""
    min_strength = own.strength * (1.0 if equals else STRONGER_RATIO)
    return any(standing.strength >= min_strength for standing in others)


def should_hand_over(own: InstanceStanding, announced: Iterable[InstanceStanding]) -> bool:
    """Whether an owner is too weak for its service, compared with the strongest other instance."""
    if own.strength >= SUFFICIENT_STRENGTH:
        return False
    other_strengths = (standing.strength for standing in announced if standing.node != own.node)
    return max(other_strengths, default=0.0) >= own.strength * HAND_OVER_RATIO


def needs_relays(executors: int) -> bool:
    """Whether an owner of this many executors calls them through relays."""
    return executors >= MIN_EXECUTORS_FOR_RELAYS


def choose_relays(
    own: NodeName, announced: Iterable[InstanceStanding], executors: int
) -> tuple[InstanceStanding, ...]:
    """Return the instances that relay calls for an owner of this many executors.

    Their number in each failure domain is limited.
    """
    if not needs_relays(executors):
        return ()
    domains: dict[FailureDomainName, list[InstanceStanding]] = {}
    for standing in announced:
        if (
            standing.node != own
            and standing.relay is not None
            and standing.failure_domain is not None
        ):
            domains.setdefault(standing.failure_domain, []).append(standing)
    per_domain = max(
        MIN_RELAYS_PER_DOMAIN, ceil(executors / max(1, len(domains)) / EXECUTORS_PER_RELAY)
    )
    return tuple(
        standing
        for candidates in domains.values()
        for standing in sorted(
            candidates, key=lambda standing: (-standing.strength, standing.node)
        )[:per_domain]
    )
