"""Tests of generating a configuration from answers."""

import difflib
import unittest
from dataclasses import replace

from hypothesis import given, settings

from ... import Configuration, ConfigurationVersion, Resources, SettingsError
from ..._contract_codec import decode_contracts, encode_contracts
from .. import (
    Answers,
    Duration,
    check,
    decode_document,
    generate,
    render_answers,
    render_generated,
    unusable_addresses,
    with_version,
)
from .builders_answers import EXAMPLE_NAMES, example_answers, valid_answers


class ExamplesTest(unittest.TestCase):
    """The configurations generated from the shipped examples."""

    def test_sizes(self) -> None:
        """Executors, workers and links have the numbers and sizes of the answers."""
        cases = [("naidu", 24, 24, 16_000), ("kastings", 33, 33, 64_000)]
        for name, targets, workers, millicores in cases:
            with self.subTest(name):
                configuration = generate(example_answers(name)).configuration
                self.assertEqual(len(configuration.targets), targets)
                self.assertEqual(sum(group.count for group in configuration.workers), workers)
                self.assertEqual(configuration.workers[0].capacity.millicores, millicores)
                self.assertEqual(configuration.links[0].bytes_per_second, 1_875_000)
                self.assertEqual(configuration.links[0].one_way_milliseconds, 20.0)
                self.assertEqual({each.slots for each in configuration.targets}, {8})

    def test_all_rules_hold(self) -> None:
        """The generated configurations pass all checks."""
        for name in EXAMPLE_NAMES:
            with self.subTest(name):
                self.assertEqual(check(generate(example_answers(name)).configuration), ())

    def test_weights_follow_what_matters_most(self) -> None:
        """Naidu ranks tail latency first; Kastings ranks evictions and throughput above it."""
        naidu = generate(example_answers("naidu")).configuration.weights
        kastings = generate(example_answers("kastings")).configuration.weights
        self.assertGreater(naidu.tail_latency, max(naidu.evictions, naidu.throughput))
        self.assertGreater(kastings.evictions, kastings.throughput)
        self.assertGreater(kastings.throughput, kastings.tail_latency)

    def test_quota_is_the_sum_of_a_teams_jobs(self) -> None:
        """The quota of 48 concurrent tasks of 2 cores and 4 GB is 96 cores and 192 GB."""
        teams = generate(example_answers("naidu")).configuration.teams
        self.assertEqual([team.quota.millicores for team in teams], [0, 96_000])
        self.assertEqual(teams[1].quota, Resources(96_000, 192_000_000_000, 0))


class GeneratorTest(unittest.TestCase):
    """Generated configurations, their files and their stored form."""

    @settings(max_examples=60)
    @given(valid_answers())
    def test_any_valid_answers_pass_every_check(self, answers: Answers) -> None:
        """Guards against valid answers whose configuration can't be applied, rendered or stored."""
        generated = generate(answers)
        self.assertEqual(check(generated.configuration), ())
        decoded = decode_document(Configuration, render_generated(generated, "title"))
        self.assertEqual(decoded.violations, ())
        self.assertEqual(decoded.value, generated.configuration)
        stored = encode_contracts(generated.configuration)
        self.assertEqual(decode_contracts(stored), generated.configuration)

    @settings(max_examples=30)
    @given(valid_answers())
    def test_answers_survive_their_file(self, answers: Answers) -> None:
        """Guards against answers that change when they are saved to a file and read again."""
        decoded = decode_document(Answers, render_answers(answers, "title"))
        self.assertEqual(decoded.violations, ())
        self.assertEqual(decoded.value, answers)

    def test_a_changed_answer_gives_a_small_difference(self) -> None:
        """Guards against a small change of the answers that changes most lines of the file.

        Operators review a new file against the old one. If names or comments depended on list
        indexes, most lines would differ and hide the line that matters.
        """
        answers = example_answers("naidu")
        service = answers.services[0]
        executors = service.executors
        more = replace(executors[0], count=executors[0].count + 1)
        cases = [
            ("timeout", replace(service, timeout=Duration.parse("12s")), 4),
            ("one more executor", replace(service, executors=(more, *executors[1:])), 10),
        ]
        before = render_generated(generate(answers), "title").splitlines()
        for name, changed, most in cases:
            with self.subTest(name):
                generated = generate(replace(answers, services=(changed,)))
                after = render_generated(generated, "title").splitlines()
                lines = [
                    line
                    for line in difflib.unified_diff(before, after, n=0, lineterm="")
                    if line[0] in "+-" and not line.startswith(("+++", "---"))
                ]
                self.assertLessEqual(len(lines), most, lines)
                self.assertGreater(len(lines), 0)

    def test_every_record_names_its_answer(self) -> None:
        """The comment above each value names the answer that determined it."""
        text = render_generated(generate(example_answers("naidu")), "title")
        for comment in (
            "// timeout: 10s",
            "// queue: 64 (not answered)",
            "// the sum of its jobs: confirmation-letters (48 of 2cores and 4GB)",
            "// services, booking-desk, executors in labasa",
            "// links, viti to vanua: 20ms one way, 15Mbit/s, spill 20%",
        ):
            self.assertIn(comment, text)

    def test_addresses(self) -> None:
        """Guards against missing or invalid addresses that aren't reported with their answer."""
        cases: list[tuple[int, str | None, tuple[str, ...], str]] = [
            (2, "127.0.0.1:65535", (), "port"),
            (2, None, ("10.0.0.1:1",), "number of addresses"),
            (1, "10.0.0.1:1", ("10.0.0.1:1",), "number of addresses"),
            (1, None, (), "first_address or addresses"),
            (1, "desk.example:80", (), "IP-number:port"),
        ]
        answers = example_answers("naidu")
        service = answers.services[0]
        for count, first, listed, message in cases:
            with self.subTest(first=first, listed=listed):
                executors = replace(
                    service.executors[1], count=count, first_address=first, addresses=listed
                )
                services = (replace(service, executors=(service.executors[0], executors)),)
                changed = replace(answers, services=services)
                (violation,) = unusable_addresses(changed)
                self.assertEqual(violation.path, "services[0].executors[1]")
                self.assertIn(message, violation.rule)
                with self.assertRaises(SettingsError):
                    generate(changed)

    def test_listed_addresses(self) -> None:
        """Listed addresses, also IPv6, are used unchanged."""
        answers = example_answers("naidu")
        listed = ("10.0.0.9:80", "[fd00::1]:81")
        executors = replace(
            answers.services[0].executors[0], count=2, first_address=None, addresses=listed
        )
        service = replace(answers.services[0], executors=(executors,))
        targets = generate(replace(answers, services=(service,))).configuration.targets
        self.assertEqual(tuple(target.address for target in targets), listed)

    def test_with_version_changes_nothing_else(self) -> None:
        """Guards against changed values or comments when a file gets the accepted version."""
        text = render_generated(generate(example_answers("naidu")), "title")
        changed = with_version(text, ConfigurationVersion(12))
        self.assertEqual(changed.replace('"version": 12', '"version": 0'), text)
        decoded = decode_document(Configuration, changed)
        assert decoded.value is not None
        self.assertEqual(decoded.value.version, 12)
