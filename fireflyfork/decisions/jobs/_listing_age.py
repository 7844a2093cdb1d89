"""Limits how often instances list the announcements of all others.

A listing grows with the fleet, and so does the number of instances that request one. Where the
instances of a region share a link to the store, the listings of a large fleet would fill it for
seconds. So a large fleet uses a listing for longer, and its instances request theirs at different
times.
"""

from __future__ import annotations

import xxhash

from ..._ids import NodeName

MAX_SMALL_FLEET = 64
"""Number of instances up to which each question is answered by a new listing."""
MIN_SPREAD = 0.5
MAX_SPREAD = 1.5


def review_seconds(node: NodeName, instances: int, interval_seconds: float) -> float:
    """Return after how many seconds an instance of a fleet lists the others again.

    ``interval_seconds`` is the mean interval in a small fleet. Beyond that size the traffic of all
    listings grows as the fleet instead of as its square.
    """
    return interval_seconds * max(1.0, instances / MAX_SMALL_FLEET) * _spread(node)


def max_listing_age(node: NodeName, instances: int, interval_seconds: float) -> float:
    """Return for how many seconds an instance uses a listing of so many instances."""
    if instances <= MAX_SMALL_FLEET:
        return 0.0
    return review_seconds(node, instances, interval_seconds)


def _spread(node: NodeName) -> float:
    """Return a factor that differs among instances, which may all have started at once."""
    share = xxhash.xxh32_intdigest(node.encode()) / 2**32
    return MIN_SPREAD + share * (MAX_SPREAD - MIN_SPREAD)
