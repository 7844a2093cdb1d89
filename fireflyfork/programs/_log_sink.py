"""Where log lines go: to a stream, without ever waiting for its reader."""

from __future__ import annotations

import os
import stat
from abc import ABC, abstractmethod
from collections import deque
from typing import TextIO

import msgspec

MOST_PENDING_BYTES = 256 * 1024
"""What is kept for a reader that has fallen behind: some 1,200 lines, three seconds of the busiest
instance, and a small part of its memory."""


class LineSink(ABC):
    """Takes whole lines."""

    @abstractmethod
    def write(self, line: bytes) -> None:
        """Write a line that ends with a newline, or keep it, or leave it out."""


class StreamSink(LineSink):
    """A file or a terminal, which take what they are given."""

    def __init__(self, stream: TextIO) -> None:
        """Write to ``stream``."""
        self._stream = stream

    def write(self, line: bytes) -> None:
        """See LineSink."""
        self._stream.write(line.decode("utf-8"))
        self._stream.flush()


class PipeSink(LineSink):
    """A pipe or a socket, whose reader may have stopped reading.

    A write to a full pipe waits for its reader. All requests of a process go through one loop on one
    thread, so a log collector that hangs would stop the service: callers would time out, leases would
    lapse. So the pipe is set not to wait; lines are kept up to a bound, then left out and counted.
    """

    def __init__(self, descriptor: int, most_pending: int = MOST_PENDING_BYTES) -> None:
        """``most_pending`` is in bytes."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_pending = most_pending
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._left_out = 0

    def write(self, line: bytes) -> None:
        """See LineSink."""
        self._flush()
        if self._left_out and self._room_for(line):
            self._keep(msgspec.json.encode(self._left_out_line()) + b"\n")
            self._left_out = 0
        if self._room_for(line):
            self._keep(line)
        else:
            self._left_out += 1
        self._flush()

    def _left_out_line(self) -> dict[str, object]:
        message = "log lines left out: their reader has fallen behind"
        return {"level": "WARNING", "message": message, "lines": self._left_out}

    def _room_for(self, line: bytes) -> bool:
        return self._pending_bytes + len(line) <= self._most_pending

    def _keep(self, line: bytes) -> None:
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
                # The reader has gone for good. There is nowhere left to say so, and a service does
                # not end because nobody reads its log.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


def sink_to(stream: TextIO) -> LineSink:
    """The sink that suits a stream."""
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        # Streams in memory have no descriptor.
        return StreamSink(stream)
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        return PipeSink(descriptor)
    return StreamSink(stream)
