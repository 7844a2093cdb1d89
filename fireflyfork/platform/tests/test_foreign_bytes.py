"""Bytes that another program, or a caller, has sent in place of a valid value."""

import unittest
from collections.abc import Callable
from math import isfinite

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ..._decoding import MAX_INTEGER, is_header_text
from ..._errors import BadRequestError, InvalidDataError, SettingsError, StoreUnavailableError
from ..._ids import JobId, Revision
from ...adapters import StoredItem
from ...decisions.jobs import (
    CallOutcome,
    decode_registrations,
    decode_stored_job,
    decode_terms,
    encode_job,
    encode_registrations,
)
from ...decisions.jobs.tests.builders_jobs import queue
from .. import decode_configuration, decode_job, decode_registration, decode_wave
from .._executor_client import _poll_answer
from .._http_calls import CallAnswer
from .._machines_client import _decoded as decode_machines
from .._machines_client import _Page
from .._store_client import _decoded as decode_store_answer
from .._store_client import _Range, _value
from .._waves import is_completed_status
from .builders_foreign_bytes import altered, invalid_documents
from .test_formats import ENTRY

JOB = JobId("5c0e7a21d94b36f8")
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "after": []}
SUBMITTED = {
    "spec": "text",
    "steps": [STEP],
    "repetitions": 2,
    "initial_delay_ms": 5,
    "interval_ms": 10,
}
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "a", "host": "h", "path_prefix": "/a/", "service": "desk"}],
    "services": [{"name": "desk"}],
}
WAVE = {"wave": 3, "machines": ["m-1"], "maximum": 2}
POLL = {
    "clock_ms": 5,
    "running": [["5c0e7a21d94b36f8.0.0.1", 2, "", 41, 7.5]],
    "ended": [[58, "5c0e7a21d94b36f8.0.0.0", 1, "done", ""]],
    "born": 1_700_000_000_000,
}
RANGE = {"items": [{"key": "k", "revision": 3, "value": "AA=="}], "has_more": False, "as_of": 4}
MACHINES: dict[str, object] = {
    "machines": [{"machine": "m", "pool": "p", "state": "up", "id": "i"}]
}


def _item(value: bytes, key: str = "servers/i-1") -> StoredItem:
    return StoredItem(key, value, Revision(3), Revision(2))


def _use_registration(value: bytes, key: str = "servers/i-1") -> bool:
    found = decode_registration(_item(value, key))
    if found is None:
        return False
    assert is_header_text(found.executor)
    assert decode_registrations(encode_registrations((found,))) == (found,)
    return True


def _use_job(value: bytes) -> bool:
    try:
        spec = decode_job(value, JOB, queue(), 0)
    except BadRequestError as error:
        assert error.status == 400 and len(error.reason) < 500
        return False
    assert decode_stored_job(encode_job(spec)) == spec
    assert isfinite(spec.work) and isfinite(spec.chain_ms())
    return True


def _use_configuration(value: bytes) -> bool:
    try:
        table = decode_configuration(value)
    except SettingsError:
        return False
    assert 0 <= table.version <= MAX_INTEGER
    return True


def _use_wave(value: bytes) -> bool:
    is_completed_status(value)
    return decode_wave(_item(value, "op/wave/3")) is not None


def _use_poll(value: bytes) -> bool:
    answer = _poll_answer(CallAnswer(200, value))
    msgspec.msgpack.encode(answer)
    return answer.outcome is CallOutcome.ACCEPTED


def _use_range(value: bytes) -> bool:
    try:
        page = decode_store_answer(CallAnswer(200, value), _Range)
        msgspec.msgpack.encode([_value(item) for item in page.items])
    except StoreUnavailableError:
        return False
    return True


def _use_machines(value: bytes) -> bool:
    return decode_machines(CallAnswer(200, value), _Page) is not None


DECODERS: dict[str, tuple[Callable[[bytes], bool], dict[str, object]]] = {
    "registration": (_use_registration, ENTRY),
    "job": (_use_job, SUBMITTED),
    "step": (lambda value: _use_job(b'{"steps":[' + value + b"]}"), STEP),
    "configuration": (_use_configuration, CONFIGURATION),
    "wave": (_use_wave, WAVE),
    "poll": (_use_poll, POLL),
    "store": (_use_range, RANGE),
    "machines": (_use_machines, MACHINES),
}
"""By name: a function that decodes a value and uses it as the product does, and a valid document.
The function returns whether the value was valid; any error that it raises is a failure."""


class ForeignBytesTest(unittest.TestCase):
    """A decoder returns a value that can be used, or raises its documented error."""

    def test_valid_documents_are_accepted(self) -> None:
        for name, (use, document) in DECODERS.items():
            with self.subTest(name):
                self.assertTrue(use(msgspec.json.encode(document)))

    def test_no_invalid_document_raises_another_error(self) -> None:
        """Guards against an entry or a request that ends the process that reads it."""
        for name, (use, document) in DECODERS.items():
            for value in invalid_documents(document):
                with self.subTest(name, value=value[:60], end=value[-20:]):
                    use(value)

    def test_deeply_nested_values_are_invalid_wherever_they_stand(self) -> None:
        """Guards against an entry whose ignored field nests too deeply for the decoder."""
        nested = b"[" * 20_000
        for name, (use, document) in DECODERS.items():
            with self.subTest(name):
                head = msgspec.json.encode(document).removesuffix(b"}")
                self.assertFalse(use(head + b',"ignored":' + nested))

    @given(st.data())
    def test_altered_documents_are_usable_or_refused(self, data: st.DataObject) -> None:
        """Guards against a value of an unexpected type, size or sign that fails only when used."""
        for use, document in DECODERS.values():
            use(data.draw(altered(document)))

    @given(st.binary(max_size=64))
    def test_random_bytes_are_refused(self, value: bytes) -> None:
        """Guards against damaged values that end the process that reads them."""
        for use, _ in DECODERS.values():
            use(value)

    def test_rows_of_other_types_make_an_answer_invalid(self) -> None:
        """Guards against a list of runs with a row that ends the owner."""
        for row in ([], ["t"], ["t", "x", "", 4], [1, 1, "", 4], ["t", 1, "", None], "t", 7):
            with self.subTest(row=row):
                answer = msgspec.json.encode({**POLL, "running": [row]})
                self.assertFalse(_use_poll(answer))

    def test_keys_that_can_not_be_sent_in_a_header_name_no_executor(self) -> None:
        """Guards against an entry whose key ends the owner at its first call to the executor."""
        entry = msgspec.json.encode(ENTRY)
        self.assertTrue(_use_registration(entry))
        for key in ("", "i 1", "i-\u00e9", "i\r\nx: y", "i\x00", "x" * 300):
            with self.subTest(key=key):
                self.assertFalse(_use_registration(entry, f"servers/{key}"))

    def test_addresses_that_lead_to_no_executor_name_none(self) -> None:
        """Guards against an entry whose address ends the owner at its first call to the executor."""
        for address in (
            "[::1%r\u00e9seau]:8080",
            "[::1%" + "x" * 70 + "]:8080",
            "[fe80::1%eth\x000]:8080",
            "[::]:8080",
            "[::1]:8080",
            "[::ffff:127.0.0.1]:8080",
            "0.0.0.0:8080",
            "224.0.0.1:8080",
            "127.0.0.1:0",
            "127.0.0.1:+80",
            "127.0.0.1:8_0",
            "127.0.0.1:\u0668\u0660",
            "localhost:80",
            " 127.0.0.1:80",
        ):
            with self.subTest(address=address):
                entry = msgspec.json.encode({**ENTRY, "address": address})
                self.assertFalse(_use_registration(entry))

    def test_configurations_with_impossible_versions_are_refused(self) -> None:
        """Guards against a version that can't be compared with, or stored beside, any other."""
        for version in (-1, 2**53, 2**64, 2**70):
            with self.subTest(version=version):
                value = msgspec.json.encode({**CONFIGURATION, "version": version})
                self.assertFalse(_use_configuration(value))


class StoredJobTest(unittest.TestCase):
    """Jobs that another writer has stored."""

    @given(st.binary(max_size=64))
    def test_random_bytes_are_refused(self, value: bytes) -> None:
        """Guards against a stored value that ends each owner that recovers it."""
        for decode in (decode_stored_job, decode_registrations, decode_terms):
            try:
                decode(value)
            except Exception as error:
                self.assertEqual(type(error).__name__, "StoredFormatError")
                self.assertIsInstance(error.__cause__, InvalidDataError)
