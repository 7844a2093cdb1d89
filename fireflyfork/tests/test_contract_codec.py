"""The configuration as bytes."""

import unittest
import zlib
from dataclasses import replace

from .. import SettingsError, TargetId
from .._contract_codec import decode_contracts, encode_contracts
from ..operations.tests.builders_answers import example_configuration


class ContractCodecTest(unittest.TestCase):
    """Plain while small, compressed once large."""

    def test_both_forms_come_back(self) -> None:
        """Operators with 24 and with 2,400 targets read what they wrote."""
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
        """A value that is cut off, of another kind or a decompression bomb is refused by name.

        An operator's tool wrote to the key by hand. Every entry reads it, and none may die of it.
        """
        whole = zlib.compress(b"{}")
        bomb = zlib.compress(b" " * (65 << 20))
        for value in (b"", b"{", b"{}", b"\x00", whole[:-3], bomb, b'{"version": "x"}'):
            with self.subTest(value=value[:20]), self.assertRaises(SettingsError):
                decode_contracts(value)
