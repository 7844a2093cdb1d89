"""When an instance may send its next call to a server that handles its calls one at a time.

A call that is sent early only waits at the server, where it can't be withdrawn or overtaken any
more. So the next call is sent when the one before is about to be answered. Until then its sender
is free to choose what it is about.

A call without an answer at the expected time stays open: the server may only be slow, and has
begun work that is lost if the caller hangs up. It doesn't hold up the next call, since its answer
may also be lost. Calls then follow each other at growing intervals until one is answered, and the
number of open calls is bounded. Load therefore can't turn into calls that are given up and
repeated.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import count

from ..._ids import CallNumber

LEAD_SECONDS = 0.05
"""How long before the expected answer to a call the next one is sent, so that the server needn't
wait for a round trip between two calls."""
PATIENCE_SECONDS = 0.5
PATIENCE_SHARE = 0.5
"""A call is overdue when its answer is late by ``PATIENCE_SECONDS``, or by this share of its cost
if that is longer."""
MAX_PATIENCE_SECONDS = 2.0
"""Longest interval between two calls while no call is answered, unless one takes longer."""
MAX_OPEN_CALLS = 8
"""Maximum number of open calls, most of them overdue. The server allows 32 to wait."""
STALL_SECONDS = 10.0
"""Time without any answer after which new calls replace the latest ones, if the maximum is open.
Shorter times occur while a slow server works on the open calls."""
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 1.0
"""Pause after the second call in a row that failed at once, doubled for each further one up to the
maximum. The first one may just have met a connection that was closed."""


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call without an answer. Times are in seconds on the caller's clock."""

    number: CallNumber
    sent_at: float
    cost_seconds: float
    """The time that the server is said to spend on the call."""
    expected_at: float
    """When the answer is expected."""
    due_at: float
    """When the call becomes overdue."""


class CallWindow:
    """The open calls of one instance to one server."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self._numbers = count(1)
        self._calls: dict[CallNumber, OpenCall] = {}
        self._last_answered = CallNumber(0)
        """Number of the last call that was answered. Earlier ones are most likely lost, since calls
        are handled in turn."""
        self._last_answer_at = float("-inf")
        self._recent_excess: deque[float] = deque([0.0, 0.0], maxlen=2)
        """By how many seconds the server exceeded the cost of the last calls that it answered."""
        self._failures = 0
        """Number of calls that have failed since the last answer."""
        self._resume_at = float("-inf")

    @property
    def open_calls(self) -> int:
        """The number of open calls."""
        return len(self._calls)

    def overdue_calls(self, now: float) -> int:
        """Return how many calls are overdue that were sent after the last one with an answer."""
        return sum(call.due_at <= now for call in self._pending())

    def may_send_at(self, now: float) -> float:
        """Return when the next call may be sent, unless an open one is answered before."""
        pending = self._pending()
        awaited = [call for call in pending if call.due_at > now]
        if not awaited:
            send_at = now
        elif len(awaited) == 1 and len(pending) == 1:
            send_at = awaited[0].expected_at - LEAD_SECONDS
        else:
            send_at = max(call.due_at for call in awaited)
        if self._is_full_of(pending):
            send_at = max(send_at, self._stalled_at(pending))
        return max(send_at, self._resume_at)

    def begin(self, now: float, cost_seconds: float) -> OpenCall:
        """Record that a call was sent that takes the server ``cost_seconds``."""
        pending = self._pending()
        awaited = [call for call in pending if call.due_at > now]
        overdue = len(pending) - len(awaited)
        # A single slow call says little of the next one, two in a row do.
        seconds = cost_seconds + min(self._recent_excess)
        expected_at = max([now, *(call.expected_at for call in awaited)]) + seconds
        patience = max(PATIENCE_SECONDS, PATIENCE_SHARE * seconds)
        patience = min(patience * 2**overdue, max(patience, MAX_PATIENCE_SECONDS))
        number, due_at = CallNumber(next(self._numbers)), expected_at + patience
        call = self._calls[number] = OpenCall(number, now, cost_seconds, expected_at, due_at)
        return call

    def surplus_call(self) -> CallNumber | None:
        """Return a call to close because too many are open, or None.

        This is a call that is most likely lost, or else the last one before the newest. The oldest
        ones would be answered first.
        """
        if len(self._calls) <= MAX_OPEN_CALLS:
            return None
        oldest, *others = self._calls
        return oldest if oldest < self._last_answered else others[-2]

    def answered(self, number: CallNumber, now: float) -> None:
        """Record the answer to a call."""
        call = self._calls.pop(number, None)
        if call is not None and number > self._last_answered:
            begun_at = max(call.sent_at, self._last_answer_at)
            self._recent_excess.append(max(0.0, now - begun_at - call.cost_seconds))
            self._last_answered = number
        self._last_answer_at = now
        self._failures = 0
        self._resume_at = float("-inf")

    def failed(self, number: CallNumber, now: float) -> None:
        """Record that a call was rejected, or ended without an answer."""
        self._calls.pop(number, None)
        self._failures += 1
        if self._failures > 1:
            pause = FIRST_PAUSE_SECONDS * 2 ** min(self._failures - 2, 8)
            self._resume_at = now + min(pause, MAX_PAUSE_SECONDS)

    def closed(self, number: CallNumber) -> None:
        """Record that the caller itself has closed a call."""
        self._calls.pop(number, None)

    def _pending(self) -> list[OpenCall]:
        return [call for number, call in self._calls.items() if number > self._last_answered]

    @staticmethod
    def _is_full_of(pending: list[OpenCall]) -> bool:
        return len(pending) >= MAX_OPEN_CALLS

    def _stalled_at(self, pending: list[OpenCall]) -> float:
        """Return when calls without an answer count as lost rather than as slow."""
        return max(self._last_answer_at, pending[0].expected_at) + STALL_SECONDS
