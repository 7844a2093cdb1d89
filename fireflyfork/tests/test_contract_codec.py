"""Tests of encoding and decoding the configuration."""

import unittest
import zlib
from dataclasses import replace

from .. import SettingsError, TargetId
from .._contract_codec import decode_contracts, encode_contracts
from ..operations.tests.builders_answers import example_configuration


class ContractCodecTest(unittest.TestCase):
    """Small values are plain JSON, and large values are compressed."""

    def test_both_forms_round_trip(self) -> None:
        """Guards against a configuration, plain or compressed, that changes when it is read back.

        The configurations have 24 and 2,400 targets.
        """
        small = example_configuration()
        targets = tuple(
            replace(target, target_id=TargetId(f"{target.target_id}-{copy}"))
            for copy in range(100)
            for target in small.targets
        )
        large = replace(small, targets=targets)
        for configuration, is_plain in ((small, True), (large, False)):
            with self.subTest(is_plain=is_plain):
                value = encode_contracts(configuration)
                self.assertEqual(value.startswith(b"{"), is_plain)
                self.assertEqual(decode_contracts(value), configuration)

    def test_damaged_values(self) -> None:
        """Guards against entries that crash on an invalid value.

        Another tool has written to the key in the store: the value is truncated, has another format
        or is a decompression bomb. Every entry reads it, so each must raise SettingsError.
        """
        whole = zlib.compress(b"{}")
        bomb = zlib.compress(b" " * (65 << 20))
        for value in (b"", b"{", b"{}", b"\x00", whole[:-3], bomb, b'{"version": "x"}'):
            with self.subTest(value=value[:20]), self.assertRaises(SettingsError):
                decode_contracts(value)
