"""How much of a service's room each share uses, by the processors or the memory, whichever is more.

A share's use is the mean of what it holds now and of its recent use, divided by its weight. Recent
use follows what the share holds with a half-life. So it is exact for runs of any length, is never
negative, and room that was lent is forgotten within a few half-lives.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from .._runs import Job, Run
from .._stored_shares import ShareId

HALF_LIFE_SECONDS = 5.0
"""Half-life of recent use. A queue that was idle while others used all room is placed before them
for about this long, in which its callers see the latency of an idle service."""
USE_STEP = 0.02
"""Shares whose uses lie within the same step of this size are equal; of their jobs the one with the
least work goes first."""


def share_of(job: Job) -> ShareId:
    """Return the share that a job belongs to: its queue, since requests name no account."""
    return ShareId(job.spec.queue)


@dataclass(frozen=True, slots=True)
class _Room:
    """The room of all executors of a service; 0 while it isn't known."""

    cpu_millis: int = 0
    memory_mb: int = 0


@dataclass(slots=True)
class _Use:
    """The use of one share."""

    updated_at: float
    recent: float = 0.0
    cpu_millis: int = 0
    memory_mb: int = 0
    runs: set[Run] = field(default_factory=set)

    def charge(self, run: Run, sign: int) -> None:
        """Add the room of a run with a sign of 1, and subtract it with a sign of -1."""
        self.cpu_millis += sign * run.task.spec.cpu_millis
        self.memory_mb += sign * run.task.spec.memory_mb

    def held(self, room: _Room) -> float:
        """Return the part of the room that the runs hold now, from 0 to 1."""
        if not room.cpu_millis or not room.memory_mb:
            return 0.0
        cpu, memory = self.cpu_millis / room.cpu_millis, self.memory_mb / room.memory_mb
        return min(1.0, max(cpu, memory))

    def update(self, now: float, room: _Room) -> None:
        """Let recent use follow what was held until now."""
        elapsed, self.updated_at = now - self.updated_at, max(now, self.updated_at)
        if elapsed > 0:
            kept = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
            self.recent = kept * self.recent + (1 - kept) * self.held(room)


class FairShares:
    """The uses of all shares of one service."""

    def __init__(
        self, weights: Mapping[str, float], share_of: Callable[[Job], ShareId] = share_of
    ) -> None:
        """Initialize without runs; a share without a weight has a weight of 1."""
        self._weights = weights
        self._share_of = share_of
        self._uses: dict[ShareId, _Use] = {}
        self._room = _Room()

    def resize(self, cpu_millis: int, memory_mb: int) -> None:
        """Set the room of all executors of the service."""
        self._room = _Room(cpu_millis, memory_mb)

    def run_started(self, run: Run, now: float) -> None:
        """Charge a run to its share for as long as it lasts. Long-running tasks aren't charged."""
        use = self._updated(self._share_of(run.task.job), now)
        if not run.task.spec.long_running and run not in use.runs:
            use.runs.add(run)
            use.charge(run, 1)

    def run_removed(self, run: Run, now: float) -> None:
        """Stop charging a run."""
        use = self._uses.get(self._share_of(run.task.job))
        if use is not None and run in use.runs:
            use.update(now, self._room)
            use.runs.remove(run)
            use.charge(run, -1)

    def use(self, share: ShareId, now: float) -> float:
        """Return the use of a share by its weight: 0 for none, 1 for all room at a weight of 1."""
        use = self._uses.get(share)
        if use is None:
            return 0.0
        use.update(now, self._room)
        return (use.recent + use.held(self._room)) / 2 / self._weights.get(share, 1.0)

    def level(self, share: ShareId, now: float) -> int:
        """Return the use of a share in steps of ``USE_STEP``."""
        return int(self.use(share, now) / USE_STEP)

    def recent_uses(self, now: float) -> Iterator[tuple[ShareId, float]]:
        """Yield each share with its recent use, to be stored for a successor."""
        for share in tuple(self._uses):
            yield share, self._updated(share, now).recent

    def adopt(self, recent_uses: Iterable[tuple[ShareId, float]], now: float) -> None:
        """Continue with the recent uses that an earlier owner stored."""
        for share, recent in recent_uses:
            self._updated(share, now).recent = min(1.0, max(0.0, recent))

    def _updated(self, share: ShareId, now: float) -> _Use:
        use = self._uses.setdefault(share, _Use(now))
        use.update(now, self._room)
        return use
