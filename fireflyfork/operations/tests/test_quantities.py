"""Tests of numbers with units."""

import unittest

from .. import ByteCount, ByteRate, Cores, Duration, Quantity, Share


class QuantityTest(unittest.TestCase):
    """Parsing of the usual spellings."""

    def test_accepted(self) -> None:
        """Usual units are accepted, with or without a space."""
        cases: list[tuple[type[Quantity], str, float]] = [
            (Duration, "20ms", 0.02),
            (Duration, "1.5 s", 1.5),
            (Duration, "2min", 120),
            (ByteCount, "60GB", 60e9),
            (ByteCount, "1GiB", 2**30),
            (ByteRate, "15Mbit/s", 1_875_000),
            (ByteRate, "2 MB/s", 2e6),
            (Share, "20%", 0.2),
            (Cores, "0.5cores", 0.5),
            (Cores, "250m", 0.25),
            (Cores, "3", 3.0),
        ]
        for kind, text, amount in cases:
            with self.subTest(text):
                parsed = kind.parse(text)
                self.assertAlmostEqual(parsed.amount, amount)
                self.assertEqual(kind.parse(parsed.text), parsed)

    def test_rejected(self) -> None:
        """Guards against a guessed unit: a bare number could be seconds or milliseconds."""
        cases: list[tuple[type[Quantity], object]] = [
            (Duration, "20"),
            (Duration, 20),
            (Duration, "20 parsecs"),
            (Duration, "-1s"),
            (Duration, "nan s"),
            (Duration, "9" * 400 + "s"),
            (ByteCount, "60 gb"),
            (ByteRate, "15Mbit"),
            (Share, "0.2"),
            (Cores, ""),
            (Cores, None),
        ]
        for kind, text in cases:
            with self.subTest(text=text), self.assertRaises(ValueError):
                kind.parse(text)

    def test_examples_are_accepted(self) -> None:
        """Guards against messages that suggest values which are rejected."""
        for kind in (Duration, ByteCount, ByteRate, Share, Cores):
            with self.subTest(kind.__name__):
                kind.parse(kind.example())
