"""Which instance should own a service, by what each can carry.

Instances are unequal. The owner of a service talks to all of its executors; one on a thin link or a
fraction of a processor falls behind, tasks wait for it, and nobody else may place them. So every instance
announces what it can carry, the able ones bid for a vacant service first, and an owner that is far weaker
than another instance hands its service over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..._ids import FailureDomainName, NodeName
from ..._links import Address

LINK_MBPS_FOR_A_PROCESSOR = 40.0
"""A start costs its owner some 1.5 ms of one processor, with its share of polls, and some 8 KB on the
link: a link of 40 Mbit/s and one processor are used up at the same rate."""
FAR_SHARE = 0.5
"""What an instance counts for when the store is in another region: every write and most orders take ten
times as long, over a link that all traffic shares."""
CLEARLY_STRONGER = 1.3
"""Smaller differences aren't worth waiting for: a bid of an equal costs nothing, a delay does."""
DELAY_FOR_EACH_STRONGER = 0.05
"""Seconds. One bid takes some 10 ms near the store, and one that fails costs two store calls."""
LONGEST_DELAY = 0.5
"""Seconds. Those that are announced may have gone with the owner; nobody waits longer for them."""
HAND_OVER_FACTOR = 2.5
"""A hand-over costs the service some 0.2 s without an owner, so it has to bring much more."""
RELAYS_FROM_EXECUTORS = 64
"""An owner of fewer executors carries all calls itself: a relay adds a hop to each."""
RELAYS_FOR_A_DOMAIN = 4
"""Each failure domain has so many, the strongest: one that goes takes a quarter of the calls there with it."""
ENOUGH_STRENGTH = 0.4
"""An owner of this strength keeps its service: at their peak, services with 24 to 33 executors
need a quarter of this."""


@dataclass(frozen=True, slots=True)
class Standing:
    """What one instance announces of itself."""

    node: NodeName
    strength: float
    """In processors that work for the owner's part; see ``strength``."""
    failure_domain: FailureDomainName | None = None
    relay: Address | None = None
    """Where it makes calls to executors for owners elsewhere; None if it doesn't."""
    replica: Address | None = None
    """Where it tells what the operator has written; None if it doesn't."""
    near_store: bool = False
    """Whether the store is in its region."""


def strength(processors: float, link_mbps: float, near_store: bool) -> float:
    """What an instance can carry, in processors.

    ``processors`` is its share of processor time in units of one processor of usual speed.
    """
    least = min(processors, link_mbps / LINK_MBPS_FOR_A_PROCESSOR)
    return least if near_store else least * FAR_SHARE


def bid_delay(own: Standing, announced: Iterable[Standing]) -> float:
    """How many seconds an instance leaves a vacant service to stronger ones."""
    stronger = sum(
        one.strength > own.strength * CLEARLY_STRONGER for one in announced if one.node != own.node
    )
    return min(LONGEST_DELAY, stronger * DELAY_FOR_EACH_STRONGER)


def can_do_better(own: Standing, others: Iterable[Standing], equals: bool) -> bool:
    """Whether one of the others is clearly stronger, or with ``equals`` at least as strong."""
    least = own.strength * (1.0 if equals else CLEARLY_STRONGER)
    return any(one.strength >= least for one in others)


def should_hand_over(own: Standing, announced: Iterable[Standing]) -> bool:
    """Whether an owner is too weak for its part beside the strongest of the others."""
    if own.strength >= ENOUGH_STRENGTH:
        return False
    others = (one.strength for one in announced if one.node != own.node)
    return max(others, default=0.0) >= own.strength * HAND_OVER_FACTOR


def choose_relays(
    own: NodeName, announced: Iterable[Standing], executors: int
) -> tuple[Standing, ...]:
    """The instances that make calls for an owner of so many executors, spread over failure domains."""
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
