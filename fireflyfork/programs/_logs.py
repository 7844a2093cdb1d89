"""Logs as JSON lines that include the trace id of the request."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Mapping
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

from ._log_sink import sink_to

if TYPE_CHECKING:
    from loguru import Message

MAX_FRAMES = 12
"""Maximum number of places in the trace of a logged error, the last ones."""
trace_of_task: ContextVar[str] = ContextVar("trace_of_task", default="")
"""The trace id of the request that the running trio task handles."""


def configure_logs(level: str, context: Mapping[str, str], stream: TextIO = sys.stderr) -> None:
    """Log lines of ``level`` and above as JSON objects, each with the fields of ``context``.

    Lines are written by the thread of the event loop, because loguru's queue would start a second
    thread.
    """
    logger.remove()
    logger.configure(extra=dict(context))
    sink = sink_to(stream)
    logger.add(
        lambda message: sink.write(_line(message)),
        level=level,
        format="{message}",
        enqueue=False,
        catch=False,
    )


def _line(message: Message) -> bytes:
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    trace = trace_of_task.get()
    if trace:
        line["trace_id"] = trace
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
        frames = traceback.extract_tb(record["exception"].traceback)
        line["raised_at"] = [f"{frame.filename}:{frame.lineno}" for frame in frames[-MAX_FRAMES:]]
    return msgspec.json.encode(line, enc_hook=str) + b"\n"
