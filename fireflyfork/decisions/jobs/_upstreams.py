"""Chooses the instances from which an instance reads the keys that operators write.

If every instance read a large configuration from the store, the link between two regions would be
full for seconds, and lease renewals over that link would wait. So each failure domain has a head,
and only heads near the store follow the store. The head of any other domain follows one of these,
and the other instances of a domain follow their head.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..._ids import FailureDomainName
from ._instance_standing import InstanceStanding

UPSTREAMS = 2
"""Number of upstreams: the second one is used while the first is unavailable. After it, the store
is used."""


def choose_upstreams(
    own: InstanceStanding, announced: Iterable[InstanceStanding]
) -> tuple[InstanceStanding, ...]:
    """Return the instances to follow, the first choice first; empty to follow the store.

    No instance follows an instance of its own domain that ranks behind it, so instances with the
    same view don't follow each other.
    """
    others = [
        standing
        for standing in announced
        if standing.node != own.node and standing.replica is not None
    ]
    if own.failure_domain is None:
        return ()
    ahead = sorted(
        (
            standing
            for standing in others
            if standing.failure_domain == own.failure_domain and _ranks_before(standing, own)
        ),
        key=_rank,
    )
    if ahead or own.near_store:
        return tuple(ahead[:UPSTREAMS])
    heads = sorted(_heads(others), key=lambda standing: _affinity(own.failure_domain, standing))
    return tuple(heads[:UPSTREAMS])


def _heads(announced: Iterable[InstanceStanding]) -> Iterable[InstanceStanding]:
    """Return the heads of the failure domains near the store."""
    heads: dict[FailureDomainName, InstanceStanding] = {}
    for standing in announced:
        if standing.near_store and standing.failure_domain is not None:
            head = heads.setdefault(standing.failure_domain, standing)
            if _ranks_before(standing, head):
                heads[standing.failure_domain] = standing
    return heads.values()


def _ranks_before(first: InstanceStanding, second: InstanceStanding) -> bool:
    return _rank(first) < _rank(second)


def _rank(standing: InstanceStanding) -> tuple[float, str]:
    return -standing.strength, standing.node


def _affinity(domain: FailureDomainName | None, head: InstanceStanding) -> int:
    """Return a sort key that spreads the domains over the heads (rendezvous hashing)."""
    return xxhash.xxh32_intdigest(f"{domain} {head.node}".encode())
