"""Tests of the rules, each with a configuration that breaks one of them."""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from ... import (
    Configuration,
    FailureDomainName,
    Region,
    RegionLink,
    RegionName,
    Resources,
    ServiceContract,
    ServiceName,
    TargetContract,
    TargetId,
    TeamContract,
    TeamName,
    Weights,
    WorkerGroup,
)
from .. import RULES, Violation, check, check_change
from .builders_answers import example_configuration, placed_configuration

Change = Callable[[Configuration], Configuration]


def in_service(**fields: Any) -> Change:
    """Return a change of fields of the first service."""

    def change(base: Configuration) -> Configuration:
        first: ServiceContract = replace(base.services[0], **fields)
        return replace(base, services=(first, *base.services[1:]))

    return change


def in_target(**fields: Any) -> Change:
    """Return a change of fields of the second target."""

    def change(base: Configuration) -> Configuration:
        second: TargetContract = replace(base.targets[1], **fields)
        return replace(base, targets=(base.targets[0], second, *base.targets[2:]))

    return change


def in_link(**fields: Any) -> Change:
    """Return a change of fields of the first link."""

    def change(base: Configuration) -> Configuration:
        first: RegionLink = replace(base.links[0], **fields)
        return replace(base, links=(first, *base.links[1:]))

    return change


def in_workers(**fields: Any) -> Change:
    """Return a change of fields of the first group of workers."""

    def change(base: Configuration) -> Configuration:
        first: WorkerGroup = replace(base.workers[0], **fields)
        return replace(base, workers=(first, *base.workers[1:]))

    return change


def in_team(**fields: Any) -> Change:
    """Return a change of fields of the second team."""

    def change(base: Configuration) -> Configuration:
        second: TeamContract = replace(base.teams[1], **fields)
        return replace(base, teams=(base.teams[0], second, *base.teams[2:]))

    return change


def only_targets_in(*domains: str) -> Change:
    """Return a change that drops the targets outside the given failure domains."""

    def change(base: Configuration) -> Configuration:
        kept = tuple(each for each in base.targets if each.failure_domain in domains)
        return replace(base, targets=kept)

    return change


def only_workers_in(*domains: str) -> Change:
    """Return a change that makes workers outside the given domains too small for a replica."""

    def change(base: Configuration) -> Configuration:
        small = Resources(100, 1000)
        groups = (
            group if group.failure_domain in domains else replace(group, capacity=small)
            for group in base.workers
        )
        return replace(base, workers=tuple(groups))

    return change


@dataclass(frozen=True, slots=True)
class Case:
    """A change that breaks a rule, and the expected path and part of the text of the rule."""

    change: Change
    path: str
    rule: str


def region(name: str, *domains: str) -> Region:
    """Return a region with the given failure domains."""
    return Region(RegionName(name), tuple(FailureDomainName(domain) for domain in domains))


CASES = (
    Case(in_service(name="Booking Desk"), "services[0].name", "lower-case"),
    Case(in_service(team="nobody"), "services[0].team", "among teams"),
    Case(in_service(longest_run_seconds=0.0), "services[0].longest_run_seconds", "between"),
    Case(
        in_service(longest_run_seconds=float("nan")),
        "services[0].longest_run_seconds",
        "between",
    ),
    Case(in_service(longest_run_seconds=31.0), "services[0].longest_run_seconds", "at most"),
    Case(in_service(longest_run_seconds=0.2), "services[0].longest_run_seconds", "objective"),
    Case(
        in_service(default_timeout_seconds=31.0),
        "services[0].default_timeout_seconds",
        "longest_timeout_seconds",
    ),
    Case(
        in_service(default_timeout_seconds=-1.0), "services[0].default_timeout_seconds", "between"
    ),
    Case(
        in_service(default_timeout_seconds=0.27),
        "services[0].default_timeout_seconds",
        "round trip",
    ),
    Case(
        in_service(latency_objective_milliseconds=11_000.0, longest_run_seconds=20.0),
        "services[0].latency_objective_milliseconds",
        "default timeout",
    ),
    Case(
        in_service(longest_timeout_seconds=36_000.0),
        "services[0].longest_timeout_seconds",
        "between",
    ),
    Case(in_service(longest_queue=-1), "services[0].longest_queue", "between"),
    Case(in_service(longest_queue=50_000), "services[0].longest_queue", "drain"),
    Case(in_service(longest_body_bytes=-1), "services[0].longest_body_bytes", "between"),
    Case(in_service(replicas=-1), "services[0].replicas", "between"),
    Case(in_service(resources=Resources()), "services[0].resources", "declare"),
    Case(in_service(resources=Resources(17_000, 1)), "services[0].resources", "fit in a worker"),
    Case(in_service(resources=Resources(1_000, 1, 1)), "services[0].resources", "fit in a worker"),
    Case(only_workers_in("suva"), "services[0].replicas", "spread"),
    Case(in_service(replicas=130), "services", "largest domain fails"),
    Case(in_target(service="unknown"), "targets[1].service", "among services"),
    Case(in_target(address="0.0.0.0:80"), "targets[1].address", "IP number"),
    Case(in_target(address="desk.example:80"), "targets[1].address", "IP number"),
    Case(in_target(address="127.0.0.1:9101"), "targets[1].address", "unique"),
    Case(in_target(target_id=TargetId("booking-desk-suva-1")), "targets[1].target_id", "unique"),
    Case(in_target(region="vanua"), "targets[1].failure_domain", "domains of the target's region"),
    Case(in_target(region="elsewhere"), "targets[1].region", "among regions"),
    Case(in_target(failure_domain="levuka"), "targets[1].failure_domain", "domains of the target"),
    Case(in_target(slots=0), "targets[1].slots", "between"),
    Case(in_target(connections=0), "targets[1].connections", "between"),
    Case(in_target(connections=7), "targets[1].connections", "at least the target's slots"),
    Case(only_targets_in("suva"), "services[0].name", "two failure domains"),
    Case(
        lambda base: replace(base, targets=(), services=(replace(base.services[0], replicas=0),)),
        "services[0].name",
        "must have targets or replicas",
    ),
    Case(
        lambda base: in_link(one_way_milliseconds=130.0)(only_targets_in("suva", "nadi")(base)),
        "services[0].latency_objective_milliseconds",
        "nearest region",
    ),
    Case(in_link(regions=("viti", "viti")), "links[0].regions", "different"),
    Case(in_link(regions=("viti", "tonga")), "links[0].regions[1]", "among regions"),
    Case(in_link(one_way_milliseconds=0.0), "links[0].one_way_milliseconds", "between"),
    Case(in_link(bytes_per_second=0), "links[0].bytes_per_second", "between"),
    Case(in_link(spill_share=20.0), "links[0].spill_share", "between"),
    Case(lambda base: replace(base, links=base.links * 2), "links[1].regions", "once"),
    Case(lambda base: replace(base, links=()), "regions[0].name", "joined"),
    Case(
        lambda base: replace(base, regions=(*base.regions, region("viti", "levuka"))),
        "regions[2].name",
        "unique",
    ),
    Case(
        lambda base: replace(base, regions=(*base.regions, region("lau", "suva"))),
        "regions[2].failure_domains[0]",
        "unique",
    ),
    Case(lambda base: replace(base, services=base.services * 2), "services[1].name", "unique"),
    Case(lambda base: replace(base, teams=base.teams * 2), "teams[2].name", "unique"),
    Case(in_team(quota=Resources(-1, 1)), "teams[1].quota.millicores", "between"),
    Case(in_team(quota=Resources(10**6, 10**9)), "teams", "fit in the workers"),
    Case(in_team(quota=Resources(1000, 0)), "teams[1].quota", "both processors and memory"),
    Case(in_team(quota=Resources(1000, 10**9, 1)), "teams", "fit in the workers"),
    Case(in_team(quota=Resources(96_000, 192)), "teams[1].quota", "1 MiB"),
    Case(in_workers(capacity=Resources(16_000, 60)), "workers[0].capacity", "1 MiB"),
    Case(in_workers(failure_domain="levuka"), "workers[0].failure_domain", "among regions"),
    Case(in_workers(count=0), "workers[0].count", "between"),
    Case(in_workers(workers_per_rack=9), "workers[0].workers_per_rack", "at most the group"),
    Case(in_workers(capacity=Resources(0, 1)), "workers[0].capacity.millicores", "between"),
    Case(lambda base: replace(base, weights=Weights(0.0, 0.0, 0.0)), "weights", "all be zero"),
    Case(lambda base: replace(base, weights=Weights(-1.0)), "weights.tail_latency", "between"),
    Case(lambda base: replace(base, partitions_per_region=0), "partitions_per_region", "between"),
)


class ChecksTest(unittest.TestCase):
    """The checks of single configurations and of changes between them."""

    def test_each_fault_is_found_where_it_is(self) -> None:
        """Guards against an operator's mistake that takes effect without being reported.

        Each mistake must be reported with its path, the broken rule and a fix.
        """
        base = placed_configuration()
        self.assertEqual(check(base), ())
        for case in CASES:
            with self.subTest(path=case.path, rule=case.rule):
                found = check(case.change(base))
                matching = [
                    violation
                    for violation in found
                    if violation.path == case.path and case.rule in violation.rule
                ]
                self.assertTrue(matching, found)
                self.assertTrue(all(violation.fix for violation in found))

    def test_every_relation_has_a_case(self) -> None:
        """Guards against a rule that never reports anything because no case breaks it."""
        base = placed_configuration()
        fired = {violation.rule for case in CASES for violation in check(case.change(base))}
        texts = {rule.text for rule in RULES if not rule.text.startswith("must be between")}
        self.assertEqual({text for text in texts - fired if "bytes when stored" not in text}, set())

    def test_more_than_the_store_holds(self) -> None:
        """Guards against a configuration over a megabyte, even compressed, that passes the checks.

        The store would reject it only after the operator had confirmed the change.
        """
        noise = random.Random(1).randbytes(1_200_000).hex()
        (violation,) = check(replace(example_configuration(), note=noise))
        self.assertIn("bytes when stored", violation.rule)

    def test_all_violations_at_once(self) -> None:
        """Guards against checks that stop at the first violation."""
        base = example_configuration()
        base = in_target(slots=0)(in_service(longest_queue=-1)(in_link(spill_share=2.0)(base)))
        paths = {violation.path for violation in check(base)}
        expected = {"targets[1].slots", "services[0].longest_queue", "links[0].spill_share"}
        self.assertEqual(paths, expected)

    def test_number_of_partitions_must_not_change(self) -> None:
        """Guards against a change of the number of partitions while entries run.

        Entries with different numbers would disagree on the owner of a target, and two owners could
        together send an executor more requests than it has slots.
        """
        base = example_configuration()
        changed = replace(base, partitions_per_region=64)
        self.assertEqual(check_change(None, changed), ())
        self.assertEqual(check_change(base, in_service(longest_queue=1)(base)), ())
        (violation,) = check_change(base, changed)
        self.assertEqual(violation.path, "partitions_per_region")

    def test_one_region_needs_no_link(self) -> None:
        """Guards against rules on links and spreading that reject a single failure domain."""
        base = example_configuration()
        one = region("viti", "suva")
        targets = tuple(each for each in base.targets if each.failure_domain == "suva")
        workers = (replace(base.workers[0], count=30, workers_per_rack=8),)
        small = replace(base, regions=(one,), links=(), targets=targets, workers=workers)
        self.assertEqual(check(small), ())

    def test_a_violation_in_one_line(self) -> None:
        """A violation is formatted as one line with path, value, rule and fix."""
        violation = Violation("a.b", "3", "must be less", "lower it")
        self.assertEqual(str(violation), "a.b: 3: must be less. Fix: lower it.")

    def test_path_of_the_second_service(self) -> None:
        """Guards against violations of the second service that have the path of the first."""
        base = example_configuration()
        second = replace(base.services[0], name=ServiceName("other"), team=TeamName("nobody"))
        paths = {
            violation.path for violation in check(replace(base, services=(*base.services, second)))
        }
        self.assertEqual(paths, {"services[1].team", "services[1].name"})
