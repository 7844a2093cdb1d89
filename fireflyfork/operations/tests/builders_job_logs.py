"""Builders of log lines in the format of the scheduler's processes."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import msgspec

BEGIN = datetime(2026, 1, 1, tzinfo=UTC)


def line(seconds: float, message: str, /, **fields: object) -> str:
    """Return a log line with a time of ``seconds`` after ``BEGIN``."""
    time = (BEGIN + timedelta(seconds=seconds)).isoformat()
    return msgspec.json.encode({"time": time, "message": message, **fields}).decode()


def accepted(seconds: float, job: str = "a1", queue: str = "quotes") -> str:
    """Return the line of an instance that accepted a job."""
    return line(seconds, "job accepted", job=job, queue=queue, tasks=1)


def sent(seconds: float, task: str = "a1.0.0.0", attempt: int = 1, waited_for: str = "") -> str:
    """Return the line of an owner that sent a task to an executor."""
    return line(seconds, "task sent", task=task, attempt=attempt, waited_for=waited_for)


def ended(
    seconds: float, task: str = "a1.0.0.0", attempt: int = 1, reason: str = "done", pace: int = 100
) -> str:
    """Return the line of an owner that received the end of a run from an executor."""
    fields = {"task": task, "attempt": attempt, "reason": reason, "lowest_pace": pace}
    return line(seconds, "run ended", **fields)


def over(seconds: float, age: float, allowed: float, job: str = "a1") -> str:
    """Return the line of a job whose state became final; ``age`` and ``allowed`` are in seconds."""
    ages = {"age_ms": int(age * 1000), "allowed_ms": int(allowed * 1000)}
    return line(seconds, "job over", job=job, state="completed", **ages)
