"""Detects slowed services on a worker, with hysteresis against lag, noise and flapping."""

from __future__ import annotations

from enum import Enum

from ..._ids import ServiceName

_HIGH_RATIO = 0.9
"""A service is slowed if the smoothed ratio of p99 latency to objective is at least this."""
_LOW_RATIO = 0.8
"""Below this ratio, limits on batch tasks may be lifted. Between the two, nothing changes."""
_SMOOTHING = 0.4
"""Weight of a new report in the exponential moving average."""
_HIGH_REPORTS = 2
"""Consecutive rounds of high reports before relief."""
_MIN_LOW_REPORTS = 4
"""Initial number of consecutive rounds of low reports before relaxation."""
_MAX_LOW_REPORTS = 64
"""Maximum number of consecutive rounds of low reports before relaxation."""
_SETTLE_SECONDS = 2.0
"""Time that an action takes to reach the worker. Earlier measurements don't show its effect."""
_RELAPSE_SECONDS = 900.0
"""If a worker is slowed again within this time after relaxation, the required number of low reports
doubles."""


class PressureAction(Enum):
    """The action that a worker's services require."""

    NONE = "none"
    RELIEVE = "relieve"
    RELAX = "relax"


class Pressure:
    """Smooths the latency of each service on one worker, and derives the required action.

    Reports lag. Acting on each report would throttle repeatedly for a cause that the first throttle
    has already removed, and would lift limits as quickly, so batch work would oscillate between
    full speed and standstill. Therefore only measurements taken after the last action count,
    several consecutive ones are required, and each relapse doubles the number of low reports that
    the next relaxation requires.
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
        """Start without reports."""
        self._ratios: dict[ServiceName, float] = {}
        self._high_streak = 0
        self._low_streak = 0
        self._counts_from = float("-inf")
        self._last_measured = float("-inf")
        self._round = float("-inf")
        self._calm_needed = _MIN_LOW_REPORTS
        self._relaxed_at = float("-inf")
        self._relapsed_at = float("-inf")

    @property
    def is_high(self) -> bool:
        """Whether the latency of any service is high now."""
        return self.worst()[1] >= _HIGH_RATIO

    def worst(self) -> tuple[ServiceName | None, float]:
        """Return the service with the highest smoothed ratio of p99 to objective, and the ratio.

        The service is None and the ratio 0 if there are no reports.
        """
        if not self._ratios:
            return None, 0.0
        name = max(self._ratios, key=self._ratios.__getitem__)
        return name, self._ratios[name]

    def forget(self, service: ServiceName) -> None:
        """Drop a service that no longer has a replica on the worker."""
        self._ratios.pop(service, None)

    def report(self, service: ServiceName, ratio: float, measured_at: float) -> None:
        """Add the ratio of p99 latency to objective of a measurement taken at ``measured_at``.

        Measurements from before the effect of the last action are ignored.
        """
        if measured_at < self._counts_from:
            return
        smoothed = self._ratios.get(service)
        if smoothed is None:
            smoothed = ratio
        self._ratios[service] = smoothed + _SMOOTHING * (ratio - smoothed)
        self._last_measured = max(self._last_measured, measured_at)

    def action(self) -> PressureAction:
        """Return the required action. Repeated calls count a round of measurements only once."""
        if self._last_measured > self._round:
            self._round = self._last_measured
            self._count_round(self.worst()[1])
        if self._high_streak >= _HIGH_REPORTS:
            return PressureAction.RELIEVE
        if self._low_streak >= self._calm_needed:
            return PressureAction.RELAX
        return PressureAction.NONE

    def relieved(self, now: float) -> None:
        """Record that tasks were throttled or evicted."""
        if now - self._relaxed_at < _RELAPSE_SECONDS:
            self._calm_needed = min(2 * self._calm_needed, _MAX_LOW_REPORTS)
            self._relapsed_at = now
        self._restart(now)

    def relaxed(self, now: float) -> None:
        """Record that limits were raised or lifted."""
        if now - self._relapsed_at > _RELAPSE_SECONDS:
            self._calm_needed = max(self._calm_needed // 2, _MIN_LOW_REPORTS)
        self._relaxed_at = now
        self._restart(now)

    def _count_round(self, ratio: float) -> None:
        self._high_streak = self._high_streak + 1 if ratio >= _HIGH_RATIO else 0
        self._low_streak = self._low_streak + 1 if ratio < _LOW_RATIO else 0

    def _restart(self, now: float) -> None:
        self._counts_from = now + _SETTLE_SECONDS
        self._high_streak = 0
        self._low_streak = 0
