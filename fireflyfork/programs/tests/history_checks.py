"""What callers and executors saw of a run, and the promises that any such history must keep."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ... import IdempotencyKey, TargetId


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    """With a whole HTTP response, whatever its status."""
    NOT_CONNECTED = "not-connected"
    """No connection to the entry, so nothing was sent."""
    BROKEN = "broken"
    """The connection ended without a whole response."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call of one caller. Times are Unix times in seconds."""

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
    """What the caller sent, which executors echo."""
    body: str = ""
    """The echo in an executor's answer."""
    reason: str = ""
    """What the entry said of a request that it did not answer."""


@dataclass(frozen=True, slots=True)
class ExecutorRun:
    """One request that an executor ran."""

    target_id: TargetId
    key: IdempotencyKey
    started_at: float


@dataclass(frozen=True, slots=True)
class Freeze:
    """A time during which an entry's process was stopped. Its own callers wait for its end."""

    entry: str
    begun_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class History:
    """Everything that was seen."""

    calls: tuple[Call, ...]
    runs: tuple[ExecutorRun, ...]
    most_busy: dict[TargetId, int]
    slots: int
    freezes: tuple[Freeze, ...] = ()
    most_connections: dict[TargetId, int] = field(default_factory=dict)
    """Of the targets that were reached through relays."""
    connections: int = 0
    """What the contract of a target allows."""


def ran_twice(history: History) -> Iterator[str]:
    """A key that executors ran more than once."""
    counts = Counter(run.key for run in history.runs)
    for key, count in counts.items():
        if count > 1:
            yield f"{key} ran {count} times: {_calls_of(history, key)}"


def ran_though_not_run(history: History) -> Iterator[str]:
    """A key whose callers were always told "not run", and that ran."""
    verdicts: dict[IdempotencyKey, set[str]] = defaultdict(set)
    for call in history.calls:
        verdicts[call.key].add(call.verdict if call.end is CallEnd.ANSWERED else call.end.value)
    known = {"not-run", CallEnd.NOT_CONNECTED.value}
    for run in history.runs:
        if verdicts[run.key] and verdicts[run.key] <= known:
            yield f"{run.key} ran at {run.started_at}: {_calls_of(history, run.key)}"


def answered_though_not_run(history: History) -> Iterator[str]:
    """A key with an executor's answer that no executor ran."""
    ran = {run.key for run in history.runs}
    for call in history.calls:
        if call.status == 200 and call.key not in ran:
            yield f"{call} has an answer and never ran"


def wrong_answers(history: History) -> Iterator[str]:
    """An answer that is not the whole answer to the caller's own request."""
    for call in history.calls:
        if call.status == 200 and call.body != call.expected_body:
            yield f"{call} got another's answer or a part of it"


def silent_refusals(history: History) -> Iterator[str]:
    """A response without a verdict, or one that may be repeated without saying when."""
    for call in history.calls:
        if call.end is not CallEnd.ANSWERED:
            continue
        if call.verdict not in ("not-run", "may-have-run", "answered"):
            yield f"{call} has no verdict"
        elif call.status == 503 and call.retry_after is None:
            yield f"{call} does not say when to come back"


def waits_past_deadline(history: History, slack: float) -> Iterator[str]:
    """A caller that waited for longer than its timeout and ``slack`` seconds."""
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
    """An executor that ever ran more requests at a time than it has slots."""
    for target_id, most in history.most_busy.items():
        if most > history.slots:
            yield f"{target_id} ran {most} at a time and has {history.slots} slots"


def over_connections(history: History) -> Iterator[str]:
    """A target that ever had more connections open than its contract allows."""
    for target_id, most in history.most_connections.items():
        if most > history.connections:
            yield f"{target_id} had {most} connections open and allows {history.connections}"


def runs_after(history: History, target_id: TargetId, leaving_at: float) -> Iterator[str]:
    """Work that a leaving target began later than it should have been left out."""
    for run in history.runs:
        if run.target_id == target_id and run.started_at > leaving_at:
            yield f"{run.key} began {run.started_at - leaving_at:.2f} s too late at {target_id}"


def cut_off(calls: Iterable[Call]) -> Iterator[str]:
    """A call whose connection ended without a response."""
    for call in calls:
        if call.end is CallEnd.BROKEN:
            yield f"{call} was cut off"


def violations(history: History, slack: float = 3.0) -> list[str]:
    """What breaks a promise that holds under every failure."""
    return [
        *ran_twice(history),
        *ran_though_not_run(history),
        *answered_though_not_run(history),
        *wrong_answers(history),
        *silent_refusals(history),
        *waits_past_deadline(history, slack),
        *over_slots(history),
        *over_connections(history),
    ]


def unanswered(history: History, first: int) -> Iterator[str]:
    """A call from number ``first`` on that got no executor's answer, with all under its key."""
    for call in history.calls[first:]:
        if call.status != 200:
            yield f"{call.key} at {call.sent_at}: {_calls_of(history, call.key)}"


def _calls_of(history: History, key: IdempotencyKey) -> list[tuple[str, str, int, str, str]]:
    return [
        (call.entry, call.end.value, call.status, call.verdict, call.reason)
        for call in history.calls
        if call.key == key
    ]
