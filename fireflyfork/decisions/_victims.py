"""Which runs are stopped to make room for one that may not wait; shared by all preemption."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from .._machines import Resources

_Item = TypeVar("_Item")


@dataclass(frozen=True, slots=True)
class Victim(Generic[_Item]):
    """Something that may be stopped on one worker."""

    item: _Item
    reservation: Resources
    """The resources that become free."""
    order: tuple[object, ...]
    """Sort key; what loses least comes first. Must be unique."""


def cheapest_victims(
    candidates: Iterable[Victim[_Item]], free: Resources, need: Resources, max_victims: int
) -> list[Victim[_Item]]:
    """Return the few cheapest candidates that make enough room for ``need`` beside ``free``.

    Returns none if they can't, or if more than ``max_victims`` would have to stop.
    """
    chosen: list[Victim[_Item]] = []
    for victim in sorted(candidates, key=lambda candidate: candidate.order):
        if need.fits_in(free):
            break
        free = free + victim.reservation
        chosen.append(victim)
    if not need.fits_in(free):
        return []
    needed = _drop_unneeded(chosen, free, need)
    return needed if len(needed) <= max_victims else []


def lost_core_seconds(seconds: float, millicores: int) -> float:
    """Return the work that is lost with the given seconds of a run on so many millicores."""
    return seconds * millicores / 1000.0


def _drop_unneeded(
    victims: list[Victim[_Item]], free: Resources, need: Resources
) -> list[Victim[_Item]]:
    """Drop victims that aren't needed to make enough room, the most expensive ones first."""
    kept = []
    for victim in reversed(victims):
        remaining = free - victim.reservation
        if need.fits_in(remaining):
            free = remaining
        else:
            kept.append(victim)
    return kept
