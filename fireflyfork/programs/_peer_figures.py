"""Collects the load figures that peers report for their targets, for use in routing."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

import trio

from .._ids import MemberId, RegionName, ServiceName
from ..adapters import ServiceFigures
from ..decisions import MemberLoad

_NEVER = float("-inf")


class PeerFigures:
    """The latest load figures that peers have reported, by service and member."""

    def __init__(self) -> None:
        """Start without figures."""
        self._latest: dict[tuple[ServiceName, MemberId], MemberLoad] = {}

    def update(
        self, member: MemberId, region: RegionName, service: ServiceName, figures: ServiceFigures
    ) -> None:
        """Store the figures that a member has reported for a service."""
        self._latest[service, member] = MemberLoad(
            member,
            region,
            figures.free_slots,
            figures.queued,
            figures.drain_per_second,
            measured_at=trio.current_time(),
        )

    def count_forwarded(self, member: MemberId, service: ServiceName) -> None:
        """Count a request that was forwarded after the member's latest figures were measured."""
        known = self._latest.get((service, member))
        if known is not None:
            self._latest[service, member] = replace(known, sent_since=known.sent_since + 1)

    def for_members(
        self, service: ServiceName, members: Iterable[tuple[MemberId, RegionName]]
    ) -> Iterator[MemberLoad]:
        """Yield the figures of these members.

        A member that has reported none gets zeros that were measured infinitely long ago.
        """
        for member, region in members:
            known = self._latest.get((service, member))
            yield known or MemberLoad(member, region, 0, 0, 0.0, measured_at=_NEVER)

    def keep_only(self, members: frozenset[MemberId]) -> None:
        """Remove the figures of all members that aren't in ``members``."""
        self._latest = {key: value for key, value in self._latest.items() if key[1] in members}
