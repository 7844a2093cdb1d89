"""The text format of metrics."""

import unittest

from .._metrics import Metrics


class MetricsTest(unittest.TestCase):
    """Counters that are kept outside of ``Metrics``."""

    def test_large_counters_keep_their_last_digits(self) -> None:
        """Guards against a rate of zero because both readings were rounded to the same value."""
        metrics = Metrics()
        metrics.counters("bytes_total", "purpose", lambda: {"watch": 1_234_567_890})
        self.assertIn('bytes_total{purpose="watch"} 1234567890', metrics.text())
