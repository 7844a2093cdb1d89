"""Log sinks that never wait for their reader."""

import io
import json
import os
import unittest

from .._log_sink import PipeSink, StreamSink, sink_to


class PipeSinkTest(unittest.TestCase):
    """Pipes whose reader falls behind or ends."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def _read(self) -> bytes:
        data = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                return data
            data += part

    def test_a_reader_that_has_stopped_does_not_stop_the_program(self) -> None:
        """Guards against a program that waits for a log collector.

        If the collector hangs, its pipe fills up. A program that blocks on it would serve no
        request until the collector is restarted.
        """
        sink = PipeSink(self.writer, max_pending=10_000)
        for number in range(5_000):
            sink.write(b'{"n": %d, "text": "0123456789012345678901234567890123456789"}\n' % number)
        read = self._read()
        sink.write(b'{"n": -1}\n')
        lines = [json.loads(line) for line in (read + self._read()).splitlines()]
        numbers = [line["n"] for line in lines if "n" in line]
        left_out = sum(line.get("lines", 0) for line in lines)
        self.assertEqual(numbers[-1], -1)
        self.assertEqual(numbers[:-1], list(range(len(numbers) - 1)))
        self.assertEqual(len(numbers) - 1 + left_out, 5_000)

    def test_a_reader_that_keeps_up_gets_every_line(self) -> None:
        sink = PipeSink(self.writer)
        data = b""
        for number in range(3_000):
            sink.write(b"%d\n" % number)
            data += self._read() if number % 100 == 0 else b""
        self.assertEqual((data + self._read()).split(), [b"%d" % n for n in range(3_000)])

    def test_a_closed_reader_is_tolerated(self) -> None:
        """Guards against errors when the collector is restarted and the old pipe is broken."""
        reader, writer = os.pipe()
        sink = PipeSink(writer)
        os.close(reader)
        for _ in range(3):
            sink.write(b"line\n")
        os.close(writer)


class SinkToTest(unittest.TestCase):
    """Selection of the sink for a stream."""

    def test_streams_that_take_everything_are_written_directly(self) -> None:
        stream = io.StringIO()
        sink = sink_to(stream)
        self.assertIsInstance(sink, StreamSink)
        sink.write(b"line\n")
        self.assertEqual(stream.getvalue(), "line\n")

    def test_pipes_get_a_non_blocking_sink(self) -> None:
        reader, writer = os.pipe()
        with os.fdopen(reader), os.fdopen(writer, "w") as stream:
            self.assertIsInstance(sink_to(stream), PipeSink)
