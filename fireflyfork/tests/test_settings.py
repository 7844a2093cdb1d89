"""Tests of decoding settings files."""

import unittest
from dataclasses import dataclass

from .. import SettingsError
from ..programs._settings import decode_settings


@dataclass(frozen=True, slots=True)
class _Peer:
    port: int


@dataclass(frozen=True, slots=True)
class _Settings:
    address: str
    peers: tuple[_Peer, ...] = ()


class SettingsTest(unittest.TestCase):
    """Comments and error messages in settings files."""

    def test_comments_are_allowed(self) -> None:
        """Guards against rejecting comments that explain values in a settings file."""
        text = '{"address": "::1", // here\n "peers": [{"port": 1}]}'
        self.assertEqual(decode_settings(text, _Settings, "f"), _Settings("::1", (_Peer(1),)))

    def test_bad_fields_are_named(self) -> None:
        """Guards against error messages without the path, the value and the expected type."""
        cases = [
            ('{"address": 4}', ("$.address", "4", "str")),
            ('{"address": "a", "peers": [{"port": "x"}]}', ("$.peers[0].port", "'x'", "int")),
            ("{}", ("address",)),
            ("{", ("JSON",)),
        ]
        for text, expected in cases:
            with self.subTest(text=text):
                with self.assertRaises(SettingsError) as caught:
                    decode_settings(text, _Settings, "file.json")
                for part in (*expected, "file.json"):
                    self.assertIn(part, str(caught.exception))
