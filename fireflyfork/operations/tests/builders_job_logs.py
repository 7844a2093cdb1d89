"""Log lines of the scheduler as its processes write them."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import msgspec

BEGIN = datetime(2026, 1, 1, tzinfo=UTC)


def line(seconds: float, message: str, **fields: object) -> str:
    """One line, so many seconds after the first."""
    time = (BEGIN + timedelta(seconds=seconds)).isoformat()
    return msgspec.json.encode({"time": time, "message": message, **fields}).decode()


def accepted(seconds: float, job: str = "a1", queue: str = "quotes") -> str:
    """An instance accepted a job."""
    return line(seconds, "job accepted", job=job, queue=queue, tasks=1)


def sent(seconds: float, task: str = "a1.0.0.0", attempt: int = 1, waited_for: str = "") -> str:
    """The owner sent a task to an executor."""
    return line(seconds, "task sent", task=task, attempt=attempt, waited_for=waited_for)


def ended(
    seconds: float, task: str = "a1.0.0.0", attempt: int = 1, reason: str = "done", pace: int = 100
) -> str:
    """An executor listed the end of a run."""
    fields = {"task": task, "attempt": attempt, "reason": reason, "lowest_pace": pace}
    return line(seconds, "run ended", **fields)


def over(seconds: float, age: float, allowed: float, job: str = "a1") -> str:
    """A job's state became final."""
    ages = {"age_ms": int(age * 1000), "allowed_ms": int(allowed * 1000)}
    return line(seconds, "job over", job=job, state="completed", **ages)
