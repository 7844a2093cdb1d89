"""Bytes on the streams between instances that no instance has sent."""

import struct
import unittest
from collections.abc import Callable
from math import inf, nan

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ..._errors import FireflyforkError, PeerError, SettingsError
from ...decisions._configuration_register import decode_configuration
from ...decisions._fleet import decode_fleet
from ...decisions._journal import JournalError, decode_segment
from ...decisions._snapshot import decode_snapshot
from ...decisions.jobs import StoredFormatError
from ...decisions.jobs.admission import decode_figures
from .._control_content import decode_content
from .._message_stream import FrameDecoder
from .._peer_messages import MessageDecoder
from .._relay_messages import DECODER as RELAY_DECODER
from .._relay_messages import EndpointFields, Forget, PollCall, Pong
from .._replica_messages import DECODER as REPLICA_DECODER

NESTED = b"\x91" * 20_000
NESTED_FIELD = b"\x81\xa1a" + NESTED
PLACE = EndpointFields("i-1", "10.0.0.1", 80, 1)


def _frame(body: bytes) -> bytes:
    return struct.pack(">I", len(body)) + body


def _relay(body: bytes) -> list[object]:
    return list(FrameDecoder(RELAY_DECODER).feed(_frame(body)))


def _replica(body: bytes) -> list[object]:
    return list(FrameDecoder(REPLICA_DECODER).feed(_frame(body)))


DECODERS: tuple[tuple[Callable[[bytes], object], type[FireflyforkError]], ...] = (
    (_relay, PeerError),
    (_replica, PeerError),
    (lambda data: list(MessageDecoder().feed(data)), PeerError),
    (lambda data: decode_content(data, EndpointFields), PeerError),
    (decode_configuration, SettingsError),
    (decode_fleet, SettingsError),
    (decode_segment, JournalError),
    (decode_snapshot, JournalError),
    (decode_figures, StoredFormatError),
)


class ForeignFramesTest(unittest.TestCase):
    """A decoder returns a value or raises its documented error."""

    def _decode(self, data: bytes) -> None:
        for decode, documented in DECODERS:
            try:
                decode(data)
            except documented:
                continue

    @given(st.binary(max_size=80))
    def test_random_bytes(self, data: bytes) -> None:
        """Guards against a stream that ends the process instead of the connection."""
        self._decode(data)

    @given(
        st.recursive(
            st.none() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.binary(max_size=5),
            lambda inner: st.lists(inner, max_size=9),
            max_leaves=30,
        )
    )
    def test_other_values(self, value: object) -> None:
        """Guards against rows of other types or numbers that end the process that reads them."""
        self._decode(msgspec.msgpack.encode(value))

    def test_nested_values(self) -> None:
        """Guards against values that nest more deeply than a decoder can follow."""
        for data in (NESTED, NESTED_FIELD, b"\x92\x00" + NESTED):
            with self.subTest(data=data[:8]):
                self._decode(data)

    def test_a_relay_refuses_calls_that_it_can_not_make(self) -> None:
        """Guards against a relay that ends because of an address, a name or a time in a call."""
        calls = [
            PollCall(1, PLACE, 1, 0, None, seconds, 1.0) for seconds in (nan, inf, -1.0, 1e300)
        ]
        rows = [msgspec.to_builtins(call) for call in calls]
        for place in (
            ["i-1", "executor.example", 80, 1],
            ["i-1", "10.0.0.1", 70_000, 1],
            ["i-\u00e9", "10.0.0.1", 80, 1],
            ["i 1\r\n", "10.0.0.1", 80, 1],
        ):
            rows.append([4, 1, place, 1, 0, None, 1.0, 1.0])
        rows.append(msgspec.to_builtins(Forget("\u20ac")))
        for row in rows:
            with self.subTest(row=row), self.assertRaises(PeerError):
                _relay(msgspec.msgpack.encode([row]))
        self.assertEqual(_relay(msgspec.msgpack.encode([Pong()])), [Pong()])
        valid = [4, 1, ["i-1", "10.0.0.1", 80, 1], 1, 0, None, 1.0, 1.0]
        self.assertEqual(len(_relay(msgspec.msgpack.encode([valid]))), 1)
