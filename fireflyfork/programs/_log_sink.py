"""Writes log lines to a stream without ever waiting for its reader."""

from __future__ import annotations

import os
import stat
from abc import ABC, abstractmethod
from collections import deque
from typing import TextIO

import msgspec

MAX_PENDING_BYTES = 256 * 1024
"""Maximum size of the lines that are queued for a slow reader.

This is about 1,200 lines, which is three seconds of the busiest instance and a small part of its
memory."""


class LineSink(ABC):
    """Accepts complete log lines."""

    @abstractmethod
    def write(self, line: bytes) -> None:
        """Write or queue a line that ends with a newline, or drop it."""


class StreamSink(LineSink):
    """Writes to a file or a terminal, which accept all lines."""

    def __init__(self, stream: TextIO) -> None:
        """Write to ``stream``."""
        self._stream = stream

    def write(self, line: bytes) -> None:
        """See LineSink."""
        self._stream.write(line.decode("utf-8"))
        self._stream.flush()


class PipeSink(LineSink):
    """Writes to a pipe or a socket, whose reader may have stopped reading.

    A write to a full pipe blocks until the reader continues. All requests of a process are handled
    by one loop on one thread, so a log collector that hangs would stop the service: callers would
    time out and leases would lapse. The pipe is therefore set to non-blocking mode. Lines are
    queued up to a limit, then dropped and counted.
    """

    def __init__(self, descriptor: int, max_pending: int = MAX_PENDING_BYTES) -> None:
        """Set the descriptor to non-blocking mode; ``max_pending`` is in bytes."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_pending_bytes = max_pending
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped = 0

    def write(self, line: bytes) -> None:
        """See LineSink."""
        self._flush()
        if self._dropped and self._has_room_for(line):
            self._enqueue(msgspec.json.encode(self._dropped_record()) + b"\n")
            self._dropped = 0
        if self._has_room_for(line):
            self._enqueue(line)
        else:
            self._dropped += 1
        self._flush()

    def _dropped_record(self) -> dict[str, object]:
        message = "log lines left out: their reader has fallen behind"
        return {"level": "WARNING", "message": message, "lines": self._dropped}

    def _has_room_for(self, line: bytes) -> bool:
        return self._pending_bytes + len(line) <= self._max_pending_bytes

    def _enqueue(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe. The error can't be logged anywhere, and the
                # service must not end because of its log.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


def sink_to(stream: TextIO) -> LineSink:
    """Return the sink that suits a stream."""
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        # In-memory streams have no descriptor.
        return StreamSink(stream)
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        return PipeSink(descriptor)
    return StreamSink(stream)
