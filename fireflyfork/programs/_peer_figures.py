"""What peers said of their targets, as routing needs it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

import trio

from .._ids import MemberId, RegionName, ServiceName
from ..adapters import ServiceFigures
from ..decisions import MemberLoad

_NEVER = float("-inf")


class PeerFigures:
    """The latest figures by service and member."""

    def __init__(self) -> None:
        """Nothing heard."""
        self._known: dict[tuple[ServiceName, MemberId], MemberLoad] = {}

    def heard(
        self, member: MemberId, region: RegionName, service: ServiceName, figures: ServiceFigures
    ) -> None:
        """A message with figures came."""
        self._known[service, member] = MemberLoad(
            member,
            region,
            figures.free_slots,
            figures.queued,
            figures.drain_per_second,
            measured_at=trio.current_time(),
        )

    def sent(self, member: MemberId, service: ServiceName) -> None:
        """A request was forwarded, which the figures don't know of yet."""
        known = self._known.get((service, member))
        if known is not None:
            self._known[service, member] = replace(known, sent_since=known.sent_since + 1)

    def of(
        self, service: ServiceName, members: Iterable[tuple[MemberId, RegionName]]
    ) -> Iterator[MemberLoad]:
        """The figures of these members; old ones for those that never said anything."""
        for member, region in members:
            known = self._known.get((service, member))
            yield known or MemberLoad(member, region, 0, 0, 0.0, measured_at=_NEVER)

    def keep_only(self, members: frozenset[MemberId]) -> None:
        """Forget members that are gone."""
        self._known = {key: value for key, value in self._known.items() if key[1] in members}
