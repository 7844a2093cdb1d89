"""Chooses the instance to own a service by the capacity of each instance.

Instances are unequal. The owner of a service communicates with all of its executors. An owner with
a slow link or a fraction of a processor falls behind, tasks wait for it, and no other instance may
place them. So every instance announces its capacity, the stronger ones bid for a vacant service
first, and an owner that is far weaker than another instance hands its service over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..._ids import FailureDomainName, NodeName
from ..._links import Address

LINK_MBPS_FOR_A_PROCESSOR = 40.0
"""Link capacity in Mbit/s that corresponds to one processor. A start, with its share of polls,
costs its owner about 1.5 ms of one processor and 8 KB on the link, so a link of 40 Mbit/s and one
processor are used up at the same rate."""
FAR_SHARE = 0.5
"""Factor on the strength of an instance in another region than the store: every write and most
orders take ten times as long, over a link that all traffic shares."""
CLEARLY_STRONGER = 1.3
"""Ratio of strengths from which an instance waits for another. A bid by an equal instance costs
nothing, and a delay does."""
DELAY_FOR_EACH_STRONGER = 0.05
"""Delay of a bid in seconds for each stronger instance. One bid takes about 10 ms near the store,
and a failed bid costs two store calls."""
LONGEST_DELAY = 0.5
"""Longest delay of a bid in seconds: the announced instances may be gone together with the
owner."""
HAND_OVER_FACTOR = 2.5
"""Ratio of strengths from which a service is handed over. A hand-over leaves the service without an
owner for about 0.2 s, so the gain has to be large."""
RELAYS_FROM_EXECUTORS = 64
"""Number of executors from which an owner uses relays. With fewer, it makes all calls itself, since
a relay adds a hop to each call."""
RELAYS_FOR_A_DOMAIN = 4
"""Number of relays in each failure domain, the strongest instances. The loss of one affects a
quarter of the calls there."""
ENOUGH_STRENGTH = 0.4
"""Strength from which an owner always keeps its service: at their peak, services with 24 to 33
executors need a quarter of it."""


@dataclass(frozen=True, slots=True)
class Standing:
    """The capacity and addresses that an instance announces."""

    node: NodeName
    strength: float
    """Capacity in processors available to an owner; see `strength`."""
    failure_domain: FailureDomainName | None = None
    relay: Address | None = None
    """Address at which it relays calls to executors for owners elsewhere; None if it doesn't."""
    replica: Address | None = None
    """Address at which it serves a replica of the operator's keys; None if it doesn't."""
    near_store: bool = False
    """Whether the store is in its region."""


def strength(processors: float, link_mbps: float, near_store: bool) -> float:
    """Return the capacity of an instance as an owner, in processors.

    `processors` is its share of CPU time in units of one processor of usual speed.
    """
    least = min(processors, link_mbps / LINK_MBPS_FOR_A_PROCESSOR)
    return least if near_store else least * FAR_SHARE


def bid_delay(own: Standing, announced: Iterable[Standing]) -> float:
    """Return how many seconds an instance leaves a vacant service to stronger instances."""
    stronger = sum(
        one.strength > own.strength * CLEARLY_STRONGER for one in announced if one.node != own.node
    )
    return min(LONGEST_DELAY, stronger * DELAY_FOR_EACH_STRONGER)


def can_do_better(own: Standing, others: Iterable[Standing], equals: bool) -> bool:
    """Whether another instance is clearly stronger, or, with `equals`, at least as strong."""
    least = own.strength * (1.0 if equals else CLEARLY_STRONGER)
    return any(one.strength >= least for one in others)


def should_hand_over(own: Standing, announced: Iterable[Standing]) -> bool:
    """Whether an owner is too weak for its service, compared with the strongest other instance."""
    if own.strength >= ENOUGH_STRENGTH:
        return False
    others = (one.strength for one in announced if one.node != own.node)
    return max(others, default=0.0) >= own.strength * HAND_OVER_FACTOR


def choose_relays(
    own: NodeName, announced: Iterable[Standing], executors: int
) -> tuple[Standing, ...]:
    """Return the instances that relay calls for an owner of this many executors.

    Their number in each failure domain is limited.
    """
    if executors < RELAYS_FROM_EXECUTORS:
        return ()
    domains: dict[FailureDomainName, list[Standing]] = {}
    for one in announced:
        if one.node != own and one.relay is not None and one.failure_domain is not None:
            domains.setdefault(one.failure_domain, []).append(one)
    return tuple(
        one
        for there in domains.values()
        for one in sorted(there, key=lambda one: (-one.strength, one.node))[:RELAYS_FOR_A_DOMAIN]
    )
