"""From whom an instance hears what the operator has written.

Read from the store by every instance, a large configuration fills the link between two regions for seconds, and
whatever renews leases over it waits. So each failure domain has a head, and only heads near the store follow the
store. The head of a domain elsewhere follows one of these, and the other instances of a domain follow their head.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..._ids import FailureDomainName
from ._standing import Standing

UPSTREAMS = 2
"""A second one serves while the first is gone. Behind it there is the store."""


def choose_upstreams(own: Standing, announced: Iterable[Standing]) -> tuple[Standing, ...]:
    """The instances that one should follow, the first choice first; none of them: the store.

    Nobody follows an instance of its domain that ranks behind it, so instances that see the same don't follow
    each other.
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
    """The heads of failure domains near the store."""
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
    """Spreads the domains over the heads that they may follow (rendezvous hashing)."""
    return xxhash.xxh32_intdigest(f"{domain} {one.node}".encode())
