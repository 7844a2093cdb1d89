"""Divides the failure domains of a service among owners.

Every instance computes the same map from what the store holds: the map that was stored last, the
work in each failure domain and the announced strength of the instances. A new map is stored by a
write that is conditional on the one before, so all maps form one sequence.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import NewType

import xxhash

from ...._ids import FailureDomainName, JobId

ShardId = NewType("ShardId", int)
"""Number of a shard, from 0."""

MAX_OWNER_SHARE = 0.5
"""Share of an owner's capacity that its usual work may take. The rest is for bursts and takeovers."""
MERGE_SHARE = 0.7
"""Share of the capacity of the smaller number of shards below which shards are merged."""


@dataclass(frozen=True, slots=True)
class ShardMap:
    """The failure domains of each shard."""

    version: int = 0
    """Number of changes of the map."""
    shards: tuple[frozenset[FailureDomainName], ...] = ()

    def shard_of(self, domain: FailureDomainName) -> ShardId | None:
        """Return the shard of a failure domain, or None if the map doesn't have it."""
        for number, domains in enumerate(self.shards):
            if domain in domains:
                return ShardId(number)
        return None


@dataclass(frozen=True, slots=True)
class JobBinding:
    """The shard that places the tasks of a job. It is written together with the job, once."""

    job: JobId
    shard: ShardId
    map_version: int
    """Version of the map by which the job was bound."""


def shards_needed(
    work: Mapping[FailureDomainName, float], owner_strength: float, current: int
) -> int:
    """Return the number of owners for the work of a service.

    ``work`` is in processors of an owner by failure domain, ``owner_strength`` the processors of the
    weakest instance that may become an owner, ``current`` the present number.
    """
    load = sum(work.values()) / (owner_strength * MAX_OWNER_SHARE)
    needed = max(1, min(len(work), ceil(load)))
    keeps_shards = needed < current <= len(work) and load > (current - 1) * MERGE_SHARE
    return current if keeps_shards else needed


def next_map(
    previous: ShardMap, work: Mapping[FailureDomainName, float], owner_strength: float
) -> ShardMap:
    """Return the map that follows ``previous``, or ``previous`` itself if nothing has to change.

    A failure domain moves to another shard only if the number of shards changes.
    """
    count = shards_needed(work, owner_strength, len(previous.shards))
    shards = [set(domains & work.keys()) for domains in previous.shards[:count]]
    shards += [set() for _ in range(count - len(shards))]
    placed = set().union(*shards)
    for domain in _largest_first(work, placed):
        lightest = min(range(count), key=lambda number: (_load(shards[number], work), number))
        shards[lightest].add(domain)
    if count > len(previous.shards):
        _fill(shards, work)
    _fill_empty(shards, work)
    new = tuple(frozenset(domains) for domains in shards)
    return previous if new == previous.shards else ShardMap(previous.version + 1, new)


def bind(job: JobId, shard_map: ShardMap) -> JobBinding:
    """Return the binding of a new job: the same for all instances with the same map."""
    numbers = range(len(shard_map.shards))
    shard = max(numbers, key=lambda number: xxhash.xxh32_intdigest(f"{number} {job}".encode()))
    return JobBinding(job, ShardId(shard), shard_map.version)


def rebind(binding: JobBinding, shard_map: ShardMap) -> JobBinding:
    """Return the binding of a job under another map: the same unless its shard is gone.

    The new binding is written on condition of the old one, so one shard at a time has the job.
    """
    if binding.shard < len(shard_map.shards):
        return binding
    return bind(binding.job, shard_map)


def _largest_first(
    work: Mapping[FailureDomainName, float], placed: set[FailureDomainName]
) -> Iterator[FailureDomainName]:
    missing = (domain for domain in work if domain not in placed)
    yield from sorted(missing, key=lambda domain: (-work[domain], domain))


def _load(domains: set[FailureDomainName], work: Mapping[FailureDomainName, float]) -> float:
    return sum(sorted(work[domain] for domain in domains))


def _fill(shards: list[set[FailureDomainName]], work: Mapping[FailureDomainName, float]) -> None:
    """Move failure domains from the heaviest shard to the lightest while that evens them out."""
    while True:
        ranked = sorted(
            range(len(shards)), key=lambda number: (_load(shards[number], work), number)
        )
        lightest, heaviest = shards[ranked[0]], shards[ranked[-1]]
        gap = _load(heaviest, work) - _load(lightest, work)
        movable = [domain for domain in heaviest if 0 < work[domain] < gap]
        if not movable:
            return
        moved = min(movable, key=lambda domain: (abs(gap / 2 - work[domain]), domain))
        heaviest.remove(moved)
        lightest.add(moved)


def _fill_empty(
    shards: list[set[FailureDomainName]], work: Mapping[FailureDomainName, float]
) -> None:
    """Give each shard without a failure domain the smallest one of the shard with the most."""
    for shard in shards:
        if not shard:
            largest = max(shards, key=len)
            moved = min(largest, key=lambda domain: (work[domain], domain), default=None)
            if moved is not None:
                largest.remove(moved)
                shard.add(moved)
