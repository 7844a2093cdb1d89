"""Limits how often instances list the announcements of all others.

A listing grows with the fleet, and so does the number of instances that request one. Where the
instances of a region share a link to the store, the listings of a large fleet would fill it for
seconds. So a large fleet uses a listing for longer, and its instances request theirs at different
times.
"""

from __future__ import annotations

import xxhash

from ..._ids import NodeName

MAX_SMALL_FLEET = 100
"""Number of instances up to which each question is answered by a new listing."""
INSTANCES_PER_INTERVAL = 64
"""Number of instances that list the others within one interval of a small fleet."""
MAX_REVIEW_SECONDS = 120.0
"""Longest mean interval between two listings of an instance. Until the next one it may wait for
instances that are gone, and passes over new ones."""
MIN_SPREAD = 0.5
MAX_SPREAD = 1.5


def review_seconds(node: NodeName, instances: int, interval_seconds: float) -> float:
    """Return after how many seconds an instance of a fleet lists the others again.

    ``interval_seconds`` is the mean interval in a small fleet. Beyond that size the traffic of all
    listings grows as the fleet instead of as its square.
    """
    if instances <= MAX_SMALL_FLEET:
        return interval_seconds
    mean_seconds = min(MAX_REVIEW_SECONDS, interval_seconds * instances / INSTANCES_PER_INTERVAL)
    return mean_seconds * _spread(node)


def max_listing_age(node: NodeName, instances: int, interval_seconds: float) -> float:
    """Return for how many seconds an instance uses a listing of so many instances."""
    if instances <= MAX_SMALL_FLEET:
        return 0.0
    return review_seconds(node, instances, interval_seconds)


def bid_spread_seconds(instances: int, jitter_seconds: float) -> float:
    """Return the range of the random delays of bids, of which one should come first."""
    return jitter_seconds * max(1.0, instances / MAX_SMALL_FLEET)


def _spread(node: NodeName) -> float:
    """Return a factor that differs among instances, which may all have started at once."""
    share = xxhash.xxh32_intdigest(node.encode()) / 2**32
    return MIN_SPREAD + share * (MAX_SPREAD - MIN_SPREAD)
