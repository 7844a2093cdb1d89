"""Tests of the parser for pages of metrics."""

import unittest

from ...programs._metrics import Metrics
from .. import read_samples


class ExpositionTest(unittest.TestCase):
    """The parser reads the pages that entries write."""

    def test_a_page_of_an_entry(self) -> None:
        """Counters, gauges and summaries are read, also with label values that need escaping."""
        metrics = Metrics()
        awkward = 'a "quoted"\\path\nnext'
        metrics.count("calls_total", 3, service=awkward)
        metrics.gauge("streams", lambda: 2.5)
        metrics.observe("seconds", 0.25, service="desk")
        found = {
            (sample.name, tuple(sample.labels.items())): sample.value
            for sample in read_samples(metrics.text())
        }
        self.assertEqual(found["calls_total", (("service", awkward),)], 3.0)
        self.assertEqual(found["streams", ()], 2.5)
        self.assertEqual(found["seconds_count", (("service", "desk"),)], 1.0)
        self.assertAlmostEqual(found["seconds_sum", (("service", "desk"),)], 0.25)

    def test_unreadable_lines_are_passed_over(self) -> None:
        """Guards against a truncated page of which no sample can be read."""
        page = '# TYPE a counter\na 1\nb{x="1" 2\nc nothing\n\nd{x="y"} 4\n'
        self.assertEqual([sample.name for sample in read_samples(page)], ["a", "d"])
