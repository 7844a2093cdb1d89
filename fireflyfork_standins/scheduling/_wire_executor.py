"""The HTTP interface of a simulated executor."""

from __future__ import annotations

from collections.abc import Callable
from weakref import WeakKeyDictionary

import msgspec

from fireflyfork._ids import AttemptNumber, FencingToken, TaskName
from fireflyfork.adapters import Exchange, ExecutorCalls, ExecutorEndpoint, HttpHandler, collect
from fireflyfork.decisions.jobs import (
    CallOutcome,
    EndReason,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    StartRequest,
)

LONGEST_BODY_BYTES = 1 << 20
MAX_ANSWER_DELAY_SECONDS = 10.0
"""Limit for the delay of answers to polls. It is long, as clients over sockets have their own
timeouts."""

_REFUSALS = {
    CallOutcome.FENCED: (409, "fence"),
    CallOutcome.STALE_ATTEMPT: (409, "old"),
    CallOutcome.PAST_DEADLINE: (409, "late"),
    CallOutcome.NO_ROOM: (409, "room"),
    CallOutcome.NO_TICKET: (409, "ticket"),
    CallOutcome.MALFORMED: (400, ""),
}
_END_REASONS = {
    EndReason.DONE: "done",
    EndReason.FAILED: "failed",
    EndReason.STOPPED: "stopped",
    EndReason.LAPSED: "lapsed",
    EndReason.GANG_BROKEN: "broken",
    EndReason.GANG_INCOMPLETE: "alone",
}


class _Call(msgspec.Struct):
    """The fields of all kinds of calls."""

    fencing_token: int = 0
    task: str = ""
    attempt: int = 0
    spec: str = ""
    deadline_ms: int | None = None
    checkpoint: str = ""
    ticket: str = ""
    percent: int = 100
    last_seen: int = 0
    wait_ms: int = 0


class ExecutorHttpHandler(HttpHandler):
    """Serves the calls to one executor over HTTP."""

    def __init__(
        self,
        calls: ExecutorCalls,
        place: ExecutorEndpoint,
        incarnation: Callable[[], int] = lambda: 0,
    ) -> None:
        """Carry out calls through ``calls``, which apply the executor's current failures.

        ``incarnation`` returns the present one, with which each connection ends.
        """
        self._calls = calls
        self._place = place
        self._incarnation = incarnation
        self._incarnations: WeakKeyDictionary[object, int] = WeakKeyDictionary()
        """By connection: the incarnation that it leads to."""

    async def handle(self, exchange: Exchange) -> None:
        """See HttpHandler."""
        expected = exchange.head.header(b"x-fireflyfork-expected-instance")
        present = self._incarnation()
        if self._incarnations.setdefault(exchange._connection, present) != present:
            exchange.abort()
            return
        body = await collect(exchange.body(), LONGEST_BODY_BYTES)
        if expected != self._place.executor:
            await exchange.answer_json(421, {})
            return
        call = msgspec.json.decode(body, type=_Call)
        token = FencingToken(call.fencing_token)
        task, attempt = TaskName(call.task), AttemptNumber(call.attempt)
        match exchange.head.target:
            case "/run-start":
                order = StartRequest(
                    task,
                    attempt,
                    call.spec,
                    call.deadline_ms or 0,
                    call.checkpoint,
                    call.ticket,
                )
                await _answer(exchange, await self._calls.start(self._place, token, order))
            case "/run-stop":
                await _answer(exchange, await self._calls.stop(self._place, token, task, attempt))
            case "/pace":
                answer = await self._calls.pace(self._place, token, task, attempt, call.percent)
                await _answer(exchange, answer)
            case "/hold":
                request = PollRequest(
                    call.last_seen, call.deadline_ms, call.wait_ms / 1000, MAX_ANSWER_DELAY_SECONDS
                )
                poll = await self._calls.poll(self._place, token, request)
                await _answer_poll(exchange, poll)
            case _:
                await exchange.answer_json(404, {"error": "no such call"})


async def _answer(exchange: Exchange, answer: OrderAnswer) -> None:
    if answer.outcome is CallOutcome.UNKNOWN:
        exchange.abort()
        return
    status, reason = _REFUSALS.get(answer.outcome, (200, ""))
    await exchange.answer_json(status, {"clock_ms": answer.clock_ms, "reason": reason})


async def _answer_poll(exchange: Exchange, poll: PollAnswer) -> None:
    if poll.outcome is not CallOutcome.ACCEPTED:
        await _answer(exchange, OrderAnswer(poll.outcome, poll.clock_ms))
        return
    running = [
        [row.task, row.attempt, row.checkpoint, row.progress_percent, row.figure]
        for row in poll.running
    ]
    ended = [
        [row.number, row.task, row.attempt, _END_REASONS[row.reason], row.checkpoint]
        for row in poll.ended
    ]
    body = {"clock_ms": poll.clock_ms, "born": poll.incarnation, "running": running, "ended": ended}
    await exchange.answer_json(200, body)
