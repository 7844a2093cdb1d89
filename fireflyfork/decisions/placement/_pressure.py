"""Whether a worker's services are slowed, with hysteresis against lag, noise and flapping."""

from __future__ import annotations

from enum import Enum

from ..._ids import ServiceName

_HIGH_RATIO = 0.9
"""Smoothed p99 over the objective from which on a service counts as slowed."""
_LOW_RATIO = 0.8
"""Below it a service may have room to give; between the two nothing changes."""
_SMOOTHING = 0.4
_HIGH_REPORTS = 2
_FIRST_LOW_REPORTS = 4
_MOST_LOW_REPORTS = 64
_SETTLE_SECONDS = 2.0
"""A measurement shows an action only when it began after the action had reached the worker."""
_RELAPSE_SECONDS = 900.0
"""A worker slowed again so soon after it was relaxed must wait twice as long the next time."""


class PressureAction(Enum):
    """What a worker needs."""

    NONE = "none"
    RELIEVE = "relieve"
    RELAX = "relax"


class Pressure:
    """The smoothed latency of each service on one worker, and what it asks for.

    Reports lag. Acting on each report would throttle again and again for a cause that the first
    throttle has already removed, and lift limits as fast; batch work would swing between full
    speed and standstill. So only measurements that began after the last action count, several in
    a row are needed, and each relapse doubles the calm that must come before the next relaxation.
    """

    __slots__ = (
        "_calm_needed",
        "_counts_from",
        "_high_streak",
        "_last_measured",
        "_low_streak",
        "_ratios",
        "_relapsed_at",
        "_relaxed_at",
        "_round",
    )

    def __init__(self) -> None:
        """Start calm."""
        self._ratios: dict[ServiceName, float] = {}
        self._high_streak = 0
        self._low_streak = 0
        self._counts_from = float("-inf")
        self._last_measured = float("-inf")
        self._round = float("-inf")
        self._calm_needed = _FIRST_LOW_REPORTS
        self._relaxed_at = float("-inf")
        self._relapsed_at = float("-inf")

    @property
    def is_high(self) -> bool:
        """Whether a service is now over its objective."""
        return self.worst()[1] >= _HIGH_RATIO

    def worst(self) -> tuple[ServiceName | None, float]:
        """The service that is slowed most, and its smoothed p99 over the objective."""
        if not self._ratios:
            return None, 0.0
        name = max(self._ratios, key=self._ratios.__getitem__)
        return name, self._ratios[name]

    def forget(self, service: ServiceName) -> None:
        """Drop a service that has no replica here any more."""
        self._ratios.pop(service, None)

    def report(self, service: ServiceName, ratio: float, measured_at: float) -> None:
        """Take in one measurement that began at ``measured_at``."""
        if measured_at < self._counts_from:
            return
        smoothed = self._ratios.get(service)
        if smoothed is None:
            smoothed = ratio
        self._ratios[service] = smoothed + _SMOOTHING * (ratio - smoothed)
        self._last_measured = max(self._last_measured, measured_at)

    def action(self) -> PressureAction:
        """What is due. Each round of measurements counts once, however often this is asked."""
        if self._last_measured > self._round:
            self._round = self._last_measured
            self._count_round(self.worst()[1])
        if self._high_streak >= _HIGH_REPORTS:
            return PressureAction.RELIEVE
        if self._low_streak >= self._calm_needed:
            return PressureAction.RELAX
        return PressureAction.NONE

    def relieved(self, now: float) -> None:
        """Note that work was throttled or evicted."""
        if now - self._relaxed_at < _RELAPSE_SECONDS:
            self._calm_needed = min(2 * self._calm_needed, _MOST_LOW_REPORTS)
            self._relapsed_at = now
        self._restart(now)

    def relaxed(self, now: float) -> None:
        """Note that a limit was lifted."""
        if now - self._relapsed_at > _RELAPSE_SECONDS:
            self._calm_needed = max(self._calm_needed // 2, _FIRST_LOW_REPORTS)
        self._relaxed_at = now
        self._restart(now)

    def _count_round(self, ratio: float) -> None:
        self._high_streak = self._high_streak + 1 if ratio >= _HIGH_RATIO else 0
        self._low_streak = self._low_streak + 1 if ratio < _LOW_RATIO else 0

    def _restart(self, now: float) -> None:
        self._counts_from = now + _SETTLE_SECONDS
        self._high_streak = 0
        self._low_streak = 0
