"""Tests of decoding values that other programs have written, including invalid values."""

import unittest
from math import inf

import msgspec

from ..._errors import BadRequestError, SettingsError
from ..._ids import ConfigurationVersion, FailureDomainName, JobId, Revision
from ..._links import Address
from ...adapters import RequestHead, StoredItem
from ...decisions.jobs.tests.builders_jobs import queue
from .. import (
    caller_timeout,
    decode_configuration,
    decode_job,
    decode_registration,
    decode_wave,
    encode_wave_status,
    is_completed_status,
    is_wave,
    parse_job_id,
    parse_node_settings,
    wave_status_key,
)
from .._names import CALLER_DEADLINE_HEADER

SETTINGS = """
node_name=edge-suva-1
zone=suva
region=viti
zones.suva=viti
zones.labasa=vanua
listen.front=10.1.0.13:8161
listen.readiness=10.1.0.13:8167
port_range=7720,7735
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=200
limits.cpu_share=0.43
limits.cores=1
limits.link_mbps=1000.0
bounds.grace_s=6
bounds.status_s=120
bounds.config_apply_ms=2500
bounds.drain_ms=2500
platform.address=10.200.1.7:8169
something.new=1
"""

ENTRY = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "suva",
    "version": "v1",
    "state": "ready",
    "room": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_000,
    "seq": 4,
}


def _item(value: bytes) -> StoredItem:
    return StoredItem("servers/i-1", value, Revision(3), Revision(2))


class SettingsTest(unittest.TestCase):
    """Tests of reading the settings file."""

    def test_fields_are_read_and_unknown_ones_ignored(self) -> None:
        settings = parse_node_settings(SETTINGS)
        self.assertEqual(settings.caller_address, Address("10.1.0.13", 8161))
        self.assertEqual(settings.metrics_address, Address("10.1.0.13", 7720))
        self.assertEqual(settings.regions[FailureDomainName("labasa")], "vanua")
        self.assertEqual(settings.bounds.max_lease, 6.0)
        self.assertEqual(settings.bounds.configuration_delay, 2.5)

    def test_the_factor_for_tasks_far_from_their_data_is_optional(self) -> None:
        """Guards against an instance that doesn't start on a platform that doesn't name it."""
        self.assertEqual(parse_node_settings(SETTINGS).bounds.far_factor, 2.0)
        named = parse_node_settings(SETTINGS + "\nbounds.far_x=3\n")
        self.assertEqual(named.bounds.far_factor, 3.0)

    def test_bad_settings_are_named(self) -> None:
        for broken, word in (
            (SETTINGS.replace("zone=suva", ""), "zone"),
            (SETTINGS.replace("=6000", "=soon"), "max_hold_ms"),
            (SETTINGS.replace("7720,7735", "x"), "port_range"),
            (SETTINGS.replace("10.1.0.13:8161", "front:80"), "front:80"),
        ):
            with self.subTest(word), self.assertRaisesRegex(SettingsError, word):
                parse_node_settings(broken)


class RegistrationTest(unittest.TestCase):
    """The registrations of executors in the store."""

    def test_an_entry_is_decoded(self) -> None:
        found = decode_registration(_item(msgspec.json.encode(ENTRY)))
        assert found is not None
        self.assertEqual((found.executor, found.room.cpu_millis), ("i-1", 16000))
        self.assertEqual(found.incarnation, 1_700_000_000_000)
        self.assertFalse(found.draining)

    def test_an_entry_that_can_not_be_read_names_no_executor(self) -> None:
        """Guards against an invalid entry that prevents the other executors from being used.

        Other programs write under the prefix of the registrations. If an invalid entry raised an error, no
        task would be placed any more.
        """
        for name, value in (
            ("bytes", b"\xff\x00"),
            ("type", msgspec.json.encode({**ENTRY, "room": "large"})),
            ("missing", msgspec.json.encode({"service": "desk"})),
            ("state", msgspec.json.encode({**ENTRY, "state": "thinking"})),
            ("address", msgspec.json.encode({**ENTRY, "address": "somewhere"})),
        ):
            with self.subTest(name):
                self.assertIsNone(decode_registration(_item(value)))

    def test_the_version_of_an_executor_is_optional(self) -> None:
        """Guards against executors that can't be used because they don't tell their version."""
        for fields, version in (
            ({}, ""),
            ({"version": "4.2"}, "4.2"),
            ({"version": 7}, "7"),
            ({"version": [1]}, ""),
        ):
            with self.subTest(version):
                entry = {key: value for key, value in ENTRY.items() if key != "version"}
                executor = decode_registration(_item(msgspec.json.encode({**entry, **fields})))
                assert executor is not None
                self.assertEqual(executor.version, version)

    def test_an_entry_without_an_incarnation_names_no_executor(self) -> None:
        """Guards against an entry without ``born`` that is treated as a very old incarnation.

        Another program overwrites an executor's entry and omits the field. The executor's own next entry
        would then look like a restart, and all its runs would be started a second time.
        """
        for born in ({}, {"born": 0}, {"born": 1.5}):
            with self.subTest(born):
                entry = {key: value for key, value in ENTRY.items() if key != "born"}
                self.assertIsNone(
                    decode_registration(_item(msgspec.json.encode({**entry, **born})))
                )


class ConfigurationTest(unittest.TestCase):
    """Tests of decoding the operator's configuration."""

    def test_the_longest_prefix_wins(self) -> None:
        route = {"name": "a", "host": "H.example", "path_prefix": "/x/", "service": "desk"}
        longer = {**route, "name": "b", "path_prefix": "/x/y/"}
        table = decode_configuration(
            msgspec.json.encode({"version": 7, "routes": [route, longer], "services": []})
        )
        self.assertEqual(table.version, ConfigurationVersion(7))
        for path, name in (("/x/1", "a"), ("/x/y/1", "b"), ("/z/1", None)):
            with self.subTest(path):
                found = table.find("h.example", path)
                self.assertEqual(found.name if found else None, name)

    def test_an_unreadable_configuration_is_refused(self) -> None:
        with self.assertRaises(SettingsError):
            decode_configuration(b"{}")


class JobTest(unittest.TestCase):
    """Tests of decoding the jobs that callers submit."""

    def test_an_id_is_sixteen_hexadecimal_digits(self) -> None:
        self.assertEqual(parse_job_id("5c0e7a21d94b36f8"), "5c0e7a21d94b36f8")
        for text in ("", "5c0e", "5C0E7A21D94B36F8", "5c0e7a21d94b36f8/x"):
            with self.subTest(text):
                self.assertIsNone(parse_job_id(text))

    def test_bad_jobs_are_refused_with_the_reason(self) -> None:
        step = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 10}
        for body, word in (
            ({"steps": []}, "no steps"),
            ({"steps": [{**step, "count": 0}]}, "no tasks"),
            ({"steps": [{**step, "cpu": -1}]}, "negative"),
            ({"steps": [{**step, "after": [0]}]}, "earlier"),
            ({"spec": 3, "steps": [step]}, "read"),
        ):
            with self.subTest(word), self.assertRaisesRegex(BadRequestError, word):
                decode_job(msgspec.json.encode(body), JobId("5c0e7a21d94b36f8"), queue(), 0)


class CallerTimeoutTest(unittest.TestCase):
    """How long a caller waits."""

    def test_a_deadline_that_is_no_number_of_milliseconds_is_ignored(self) -> None:
        """Guards against a header that ends the server."""
        for text, seconds in ((b"1500", 1.5), (b"", inf), (b"-1", inf), (b"9" * 400, inf)):
            with self.subTest(text):
                headers = ((CALLER_DEADLINE_HEADER, text),)
                head = RequestHead("POST", "/", headers)
                self.assertEqual(caller_timeout(head), seconds)


class WaveTest(unittest.TestCase):
    """Waves of upkeep and their status, in the format of the operators."""

    def test_a_wave_is_read(self) -> None:
        wave = decode_wave(
            _item(b'{"wave":3,"machines":["m-1","m-2"],"finish_by_s":20,"maximum":2}')
        )
        assert wave is not None
        self.assertEqual((wave.number, wave.machines, wave.max_at_once), (3, ("m-1", "m-2"), 2))

    def test_a_wave_that_can_not_be_read_is_passed_over(self) -> None:
        """Guards against an incomplete wave, written by an operator's tool, that stops the watch.

        If decoding it raised an error, changes of the configuration under the same prefix would be missed.
        """
        for value in (b"", b'{"wave":3}', b'{"wave":"x","machines":[]}'):
            with self.subTest(value):
                self.assertIsNone(decode_wave(_item(value)))

    def test_a_report_reads_back(self) -> None:
        self.assertTrue(is_completed_status(encode_wave_status(True)))
        for value in (encode_wave_status(False), b"?"):
            self.assertFalse(is_completed_status(value))

    def test_keys(self) -> None:
        self.assertEqual(wave_status_key(3), "status/wave/3")
        self.assertEqual([is_wave(key) for key in ("op/wave/3", "op/config")], [True, False])
