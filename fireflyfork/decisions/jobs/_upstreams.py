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
from ._standing import Standing

UPSTREAMS = 2
"""Number of upstreams: the second one is used while the first is unavailable. After it, the store
is used."""


def choose_upstreams(own: Standing, announced: Iterable[Standing]) -> tuple[Standing, ...]:
    """Return the instances to follow, the first choice first; empty to follow the store.

    No instance follows an instance of its own domain that ranks behind it, so instances with the
    same view don't follow each other.
    """
    others = [one for one in announced if one.node != own.node and one.replica is not None]
    if own.failure_domain is None:
        return ()
    ahead = sorted(
        (one for one in others if one.failure_domain == own.failure_domain and _leads(one, own)),
        key=_rank,
    )
    if ahead or own.near_store:
        return tuple(ahead[:UPSTREAMS])
    near = sorted(_heads(others), key=lambda one: _affinity(own.failure_domain, one))
    return tuple(near[:UPSTREAMS])


def _heads(announced: Iterable[Standing]) -> Iterable[Standing]:
    """Return the heads of the failure domains near the store."""
    heads: dict[FailureDomainName, Standing] = {}
    for one in announced:
        if one.near_store and one.failure_domain is not None:
            head = heads.setdefault(one.failure_domain, one)
            if _leads(one, head):
                heads[one.failure_domain] = one
    return heads.values()


def _leads(one: Standing, other: Standing) -> bool:
    return _rank(one) < _rank(other)


def _rank(one: Standing) -> tuple[float, str]:
    return -one.strength, one.node


def _affinity(domain: FailureDomainName | None, one: Standing) -> int:
    """Return a sort key that spreads the domains over the heads (rendezvous hashing)."""
    return xxhash.xxh32_intdigest(f"{domain} {one.node}".encode())
