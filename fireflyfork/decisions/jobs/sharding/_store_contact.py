"""Decides when an owner that can't reach the store gives its service up through another instance.

The ownership ends with a lease of the store that the owner can't renew. Until then nobody accepts
new jobs of the service or stores ends of its runs. An instance that reaches the store can remove the
owner key at the owner's request, so the service is vacant sooner. Runs continue under the leases of
their executors.

An outage of the store for all instances must not end an ownership: no other instance could take
over. There the request fails at each instance, and the owner continues.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ...._ids import FailureDomainName, NodeName

MIN_FAILURES = 2
"""Number of consecutive renewals without success after which contact is lost. A single lost answer
isn't significant."""
SILENT_SHARE = 0.7
"""Share of the lease after which contact is lost although no renewal has failed yet: a call to a
silent store takes most of the lease to fail. A store that is sixty times slower than usual confirms
a renewal within this time."""
RELEASE_SHARE = 0.1
"""Share of the lease that a release has to save at least."""
MAX_PEERS = 3
"""Number of instances that are asked, one after the other."""


@dataclass(frozen=True, slots=True)
class StoreContact:
    """What an owner knows of its contact with the store. Times are seconds on its clock."""

    lease_seconds: float
    """The duration of the lease that keeps the owner key."""
    confirmed_at: float
    """When the last call was sent that the store has answered as it does only for the owner."""
    failures: int = 0
    """Number of renewals without success since then."""
    refused_at: float | None = None
    """When the instances that were asked last couldn't release the service; None if none was asked
    since the last contact."""

    def confirmed(self, sent_at: float) -> StoreContact:
        """Return the state after an answer to a call that was sent at ``sent_at``."""
        if sent_at <= self.confirmed_at:
            return self
        return StoreContact(self.lease_seconds, sent_at)

    def failed(self) -> StoreContact:
        """Return the state after a renewal without success."""
        return replace(self, failures=self.failures + 1)

    def refused(self, now: float) -> StoreContact:
        """Return the state after no instance that was asked could release the service.

        Those that were asked can't reach the store either, so the others need not be asked: this
        is an outage for all, or for so many that the lease ends as soon.
        """
        return replace(self, refused_at=now)

    def is_lost(self, now: float) -> bool:
        """Whether the store has to be considered out of reach for this instance."""
        silent_seconds = now - self.confirmed_at
        return self.failures >= MIN_FAILURES or silent_seconds >= SILENT_SHARE * self.lease_seconds

    def should_release(self, now: float) -> bool:
        """Whether to ask another instance to release the service now."""
        ends_at = self.confirmed_at + self.lease_seconds
        return (
            self.refused_at is None
            and self.is_lost(now)
            and ends_at - now > RELEASE_SHARE * self.lease_seconds
        )


@dataclass(frozen=True, slots=True)
class ReleasePeer:
    """An instance that may be asked to release a service."""

    node: NodeName
    failure_domain: FailureDomainName


def release_order(
    own_domain: FailureDomainName | None, peers: Iterable[ReleasePeer]
) -> tuple[ReleasePeer, ...]:
    """Return the instances to ask, in this order.

    Instances of other failure domains come first, one of each domain: what cuts an instance off from
    the store often affects its domain.
    """
    domains: dict[FailureDomainName, list[ReleasePeer]] = {}
    for peer in sorted(peers, key=lambda peer: peer.node):
        domains.setdefault(peer.failure_domain, []).append(peer)
    turns = [
        (turn, domain == own_domain, domain, peer)
        for domain, members in domains.items()
        for turn, peer in enumerate(members)
    ]
    turns.sort(key=lambda entry: entry[:3])
    return tuple(peer for *_, peer in turns)[:MAX_PEERS]
