"""The history that callers and executors recorded, and checks of the guarantees it must meet."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ... import IdempotencyKey, TargetId


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    """The caller got a complete HTTP response of any status."""
    NOT_CONNECTED = "not-connected"
    """The connection to the entry failed, so nothing was sent."""
    BROKEN = "broken"
    """The connection ended without a complete response."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call of one caller. ``sent_at`` and ``ended_at`` are Unix times in seconds."""

    key: IdempotencyKey
    entry: str
    sent_at: float
    ended_at: float
    timeout: float
    end: CallEnd
    status: int = 0
    verdict: str = ""
    retry_after: str | None = None
    expected_body: str = ""
    """The request body, which executors echo."""
    body: str = ""
    """The request body echoed in an executor's answer."""
    reason: str = ""
    """The error text of an entry that refused the request."""


@dataclass(frozen=True, slots=True)
class ExecutorRun:
    """One request that an executor ran."""

    target_id: TargetId
    key: IdempotencyKey
    started_at: float


@dataclass(frozen=True, slots=True)
class Freeze:
    """A period during which an entry's process was stopped; its callers wait until the end."""

    entry: str
    begun_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class History:
    """The recorded calls, runs, load maxima and freezes of one scenario."""

    calls: tuple[Call, ...]
    runs: tuple[ExecutorRun, ...]
    most_busy: dict[TargetId, int]
    slots: int
    freezes: tuple[Freeze, ...] = ()
    most_connections: dict[TargetId, int] = field(default_factory=dict)
    """The maximum number of open connections to each target behind a TCP proxy."""
    connections: int = 0
    """The number of connections that the contract of each target allows."""


def ran_twice(history: History) -> Iterator[str]:
    """Report keys that executors ran more than once."""
    counts = Counter(run.key for run in history.runs)
    for key, count in counts.items():
        if count > 1:
            yield f"{key} ran {count} times: {_calls_of(history, key)}"


def ran_though_not_run(history: History) -> Iterator[str]:
    """Report keys that ran although all their calls ended with "not run" or without connecting."""
    verdicts: dict[IdempotencyKey, set[str]] = defaultdict(set)
    for call in history.calls:
        verdicts[call.key].add(call.verdict if call.end is CallEnd.ANSWERED else call.end.value)
    known = {"not-run", CallEnd.NOT_CONNECTED.value}
    for run in history.runs:
        if verdicts[run.key] and verdicts[run.key] <= known:
            yield f"{run.key} ran at {run.started_at}: {_calls_of(history, run.key)}"


def answered_though_not_run(history: History) -> Iterator[str]:
    """Report answered calls whose key no executor ran."""
    ran = {run.key for run in history.runs}
    for call in history.calls:
        if call.status == 200 and call.key not in ran:
            yield f"{call} has an answer and never ran"


def wrong_answers(history: History) -> Iterator[str]:
    """Report answers that don't echo the caller's own request completely."""
    for call in history.calls:
        if call.status == 200 and call.body != call.expected_body:
            yield f"{call} got a wrong or incomplete answer"


def incomplete_refusals(history: History) -> Iterator[str]:
    """Report responses without a verdict, and 503 responses without a Retry-After header."""
    for call in history.calls:
        if call.end is not CallEnd.ANSWERED:
            continue
        if call.verdict not in ("not-run", "may-have-run", "answered"):
            yield f"{call} has no verdict"
        elif call.status == 503 and call.retry_after is None:
            yield f"{call} has no Retry-After header"


def waits_past_deadline(history: History, slack: float) -> Iterator[str]:
    """Report calls that took more than ``slack`` seconds longer than their timeout.

    A call at a frozen entry may also take until ``slack`` seconds after the freeze.
    """
    for call in history.calls:
        due = max([call.sent_at + call.timeout, *_frozen_until(history, call)])
        if call.ended_at > due + slack:
            yield f"{call} took {call.ended_at - call.sent_at:.1f} s"


def _frozen_until(history: History, call: Call) -> Iterator[float]:
    for freeze in history.freezes:
        overlaps = call.sent_at < freeze.ended_at and call.ended_at > freeze.begun_at
        if freeze.entry == call.entry and overlaps:
            yield freeze.ended_at


def over_slots(history: History) -> Iterator[str]:
    """Report executors that ran more requests at the same time than they have slots."""
    for target_id, max_running in history.most_busy.items():
        if max_running > history.slots:
            yield f"{target_id} ran {max_running} at a time and has {history.slots} slots"


def over_connections(history: History) -> Iterator[str]:
    """Report targets that had more connections open than their contracts allow."""
    for target_id, max_open in history.most_connections.items():
        if max_open > history.connections:
            yield f"{target_id} had {max_open} connections open and allows {history.connections}"


def runs_after(history: History, target_id: TargetId, leaving_at: float) -> Iterator[str]:
    """Report runs that a leaving target began after ``leaving_at``."""
    for run in history.runs:
        if run.target_id == target_id and run.started_at > leaving_at:
            yield f"{run.key} began {run.started_at - leaving_at:.2f} s too late at {target_id}"


def cut_off(calls: Iterable[Call]) -> Iterator[str]:
    """Report calls whose connection ended without a complete response."""
    for call in calls:
        if call.end is CallEnd.BROKEN:
            yield f"{call} was cut off"


def violations(history: History, slack: float = 3.0) -> list[str]:
    """Return all violations of the guarantees that hold under every failure."""
    return [
        *ran_twice(history),
        *ran_though_not_run(history),
        *answered_though_not_run(history),
        *wrong_answers(history),
        *incomplete_refusals(history),
        *waits_past_deadline(history, slack),
        *over_slots(history),
        *over_connections(history),
    ]


def unanswered(history: History, first: int) -> Iterator[str]:
    """Report calls from index ``first`` on without an executor's answer, with all calls of the key."""
    for call in history.calls[first:]:
        if call.status != 200:
            yield f"{call.key} at {call.sent_at}: {_calls_of(history, call.key)}"


def _calls_of(history: History, key: IdempotencyKey) -> list[tuple[str, str, int, str, str]]:
    return [
        (call.entry, call.end.value, call.status, call.verdict, call.reason)
        for call in history.calls
        if call.key == key
    ]
