"""The rules that each configuration and each change of the configuration must satisfy."""

from __future__ import annotations

from collections.abc import Iterator

from .._contracts import Configuration
from . import _relations as relations
from ._rules import PatternRule, RangeRule, ReferenceRule, RelationRule, Rule, UniqueRule
from ._violations import Violation, short_repr

_NAME = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
_NAME_TEXT = "must be 1 to 63 lower-case letters, digits and inner hyphens"
_NAME_FIX = "rename it, such as booking-desk"
_NAME_DOMAINS = (
    "regions[*].name",
    "regions[*].failure_domains[*]",
    "services[*].name",
    "teams[*].name",
)
_HOUR_SECONDS = 3600.0
_HOUR_MILLISECONDS = 3_600_000.0
_SHORTEST_SECONDS = 0.001
_TEBIBYTE = 1 << 40

NAME_RULES: tuple[Rule, ...] = tuple(
    PatternRule(_NAME_TEXT, _NAME_FIX, domain, _NAME) for domain in _NAME_DOMAINS
)

RANGE_RULES: tuple[Rule, ...] = tuple(
    RangeRule(f"must be between {minimum:.15g} and {maximum:.15g}", fix, domain, minimum, maximum)
    for domain, minimum, maximum, fix in (
        ("version", 0, 1e12, "leave the version that the questionnaire or apply wrote"),
        ("partitions_per_region", 1, 1024, "several times the entries of a region, such as 32"),
        ("services[*].longest_run_seconds", _SHORTEST_SECONDS, _HOUR_SECONDS, "give seconds"),
        ("services[*].default_timeout_seconds", _SHORTEST_SECONDS, _HOUR_SECONDS, "give seconds"),
        ("services[*].longest_timeout_seconds", _SHORTEST_SECONDS, _HOUR_SECONDS, "give seconds"),
        (
            "services[*].latency_objective_milliseconds",
            0.1,
            _HOUR_MILLISECONDS,
            "give milliseconds",
        ),
        ("services[*].longest_queue", 0, 100_000, "0 refuses at once when all slots are busy"),
        ("services[*].longest_body_bytes", 0, 1 << 30, "give bytes, such as 1048576"),
        ("services[*].replicas", 0, 100_000, "0 when something else starts the executors"),
        ("services[*].resources.millicores", 0, 1_000_000, "1000 is one core"),
        ("services[*].resources.memory", 0, _TEBIBYTE, "give bytes"),
        ("services[*].resources.accelerators", 0, 1024, "give whole devices"),
        ("targets[*].slots", 1, 10_000, "the requests that the executor runs at a time"),
        ("targets[*].connections", 1, 100_000, "the connections that the executor accepts"),
        ("teams[*].quota.millicores", 0, 10**10, "1000 is one core"),
        ("teams[*].quota.memory", 0, _TEBIBYTE * 4096, "give bytes"),
        ("teams[*].quota.accelerators", 0, 10**6, "give whole devices"),
        ("links[*].one_way_milliseconds", 0.001, 10_000, "measure the one-way latency"),
        ("links[*].bytes_per_second", 1, 1e12, "15 Mbit/s are 1875000 bytes a second"),
        ("links[*].spill_share", 0, 1, "0.2 is a fifth"),
        ("workers[*].count", 1, 100_000, "leave the group out when it has no workers"),
        ("workers[*].workers_per_rack", 1, 1000, "the workers that share a rack"),
        ("workers[*].capacity.millicores", 1, 10**6, "1000 is one core"),
        ("workers[*].capacity.memory", 1, _TEBIBYTE * 64, "give bytes"),
        ("workers[*].capacity.accelerators", 0, 1024, "give whole devices"),
        ("weights.tail_latency", 0, 1e6, "compare with the other two weights"),
        ("weights.evictions", 0, 1e6, "compare with the other two weights"),
        ("weights.throughput", 0, 1e6, "compare with the other two weights"),
    )
)

UNIQUE_RULES: tuple[Rule, ...] = tuple(
    UniqueRule("must be unique", fix, domain)
    for domain, fix in (
        ("regions[*].name", "merge the two regions or rename one"),
        ("regions[*].failure_domains[*]", "a failure domain belongs to one region"),
        ("services[*].name", "rename one service"),
        ("teams[*].name", "merge the two teams or rename one"),
        ("targets[*].target_id", "give each executor its own id"),
        ("targets[*].address", "give each executor its own address"),
    )
)

REFERENCE_RULES: tuple[Rule, ...] = tuple(
    ReferenceRule(f"must be among {among}", fix, domain, among)
    for domain, among, fix in (
        ("services[*].team", "teams[*].name", "add the team or correct the name"),
        ("targets[*].service", "services[*].name", "add the service or correct the name"),
        ("targets[*].region", "regions[*].name", "add the region or correct the name"),
        ("links[*].regions[*]", "regions[*].name", "add the region or correct the name"),
        (
            "workers[*].failure_domain",
            "regions[*].failure_domains[*]",
            "add the failure domain to its region or correct the name",
        ),
    )
)

RELATION_RULES: tuple[Rule, ...] = tuple(
    RelationRule(text, fix, domain, find)
    for find, domain, text, fix in (
        (
            relations.unusable_addresses,
            "targets[*].address",
            "must be an IP number and port that a process can listen on",
            "write it as 10.0.0.1:8080 or [fd00::1]:8080; names are not resolved",
        ),
        (
            relations.misplaced_targets,
            "targets[*].failure_domain",
            "must be one of the failure domains of the target's region",
            "correct the region or the failure domain",
        ),
        (
            relations.too_few_connections,
            "targets[*].connections",
            "must be at least the target's slots",
            "raise connections or lower slots",
        ),
        (
            relations.services_without_targets,
            "services[*]",
            "must have targets or replicas",
            "add its executors, or remove the service",
        ),
        (
            relations.services_in_one_domain,
            "services[*]",
            "must have targets in two failure domains, or one failure takes it away",
            "move some executors to another failure domain",
        ),
        (
            relations.default_above_longest,
            "services[*].default_timeout_seconds",
            "must be at most longest_timeout_seconds",
            "raise longest_timeout_seconds or lower the default",
        ),
        (
            relations.objective_above_timeout,
            "services[*].latency_objective_milliseconds",
            "must be at most the default timeout",
            "raise the timeout or lower the objective",
        ),
        (
            relations.run_above_longest_timeout,
            "services[*].longest_run_seconds",
            "must be at most longest_timeout_seconds",
            "raise longest_timeout_seconds, or have executors end their requests sooner",
        ),
        (
            relations.run_below_objective,
            "services[*].longest_run_seconds",
            "must be at least the latency objective",
            "raise longest_run_seconds to the time when executors surely ended a request",
        ),
        (
            relations.timeout_within_round_trip,
            "services[*].default_timeout_seconds",
            "must leave room for the slowest link's round trip and the latency objective",
            "raise the timeout",
        ),
        (
            relations.objective_within_round_trip,
            "services[*].latency_objective_milliseconds",
            "must be above the round trip to the nearest region that has targets",
            "add executors in each region, or raise the objective",
        ),
        (
            relations.queue_beyond_timeout,
            "services[*].longest_queue",
            "must drain within longest_timeout_seconds when each request takes the objective",
            "shorten the queue: its last requests would be answered too late",
        ),
        (
            relations.links_of_one_region,
            "links[*].regions",
            "must join two different regions",
            "name the other region",
        ),
        (
            relations.repeated_links,
            "links[*].regions",
            "must join two regions once",
            "remove one of the two links",
        ),
        (
            relations.unlinked_regions,
            "regions[*]",
            "must be joined to another region by a link",
            "add the link with its latency and capacity",
        ),
        (
            relations.replicas_without_size,
            "services[*].resources",
            "must declare processors and memory when replicas are placed",
            "give the size of one replica",
        ),
        (
            relations.replicas_that_fit_nowhere,
            "services[*].resources",
            "must fit in a worker",
            "lower the size of a replica or add larger workers",
        ),
        (
            relations.replicas_without_spread,
            "services[*].replicas",
            "must be able to spread over two failure domains",
            "lower the size of a replica or add workers in another failure domain",
        ),
        (
            relations.replicas_exceeding_reduced_capacity,
            "services",
            "must fit together in the workers that are left when the largest domain fails",
            "lower replicas or sizes, or add workers",
        ),
        (
            relations.quotas_beyond_workers,
            "teams",
            "must fit in the workers together, next to the services' replicas",
            "lower quotas (tasks_at_once of the jobs) or add workers",
        ),
        (
            relations.incomplete_quotas,
            "teams[*].quota",
            "must have both processors and memory, or neither",
            "give both; nothing runs without one of them",
        ),
        (
            relations.too_little_memory_per_core,
            "resources, quota, capacity",
            "must have at least 1 MiB of memory for each core",
            "give memory in bytes: 60 GB are 60000000000",
        ),
        (
            relations.racks_larger_than_group,
            "workers[*].workers_per_rack",
            "must be at most the group's count",
            "correct workers_per_rack",
        ),
        (
            relations.weights_all_zero,
            "weights",
            "must not all be zero",
            "give at least one measure a weight above 0",
        ),
        (
            relations.configuration_too_large_to_store,
            "file",
            f"must be at most {relations.MAX_STORED_BYTES} bytes when stored",
            "remove targets that are no longer used",
        ),
    )
)

RULES: tuple[Rule, ...] = NAME_RULES + RANGE_RULES + UNIQUE_RULES + REFERENCE_RULES + RELATION_RULES


def check(configuration: Configuration) -> tuple[Violation, ...]:
    """Return all violations of all rules, in the order of ``RULES``."""
    return tuple(violation for rule in RULES for violation in rule.find_violations(configuration))


def check_change(current: Configuration | None, proposed: Configuration) -> tuple[Violation, ...]:
    """Return violations for changed values that must stay the same while entries run.

    ``current`` is None if no configuration is in force yet; then nothing is forbidden.
    """
    return tuple(_change_violations(current, proposed)) if current is not None else ()


def _change_violations(current: Configuration, proposed: Configuration) -> Iterator[Violation]:
    if current.partitions_per_region != proposed.partitions_per_region:
        yield Violation(
            "partitions_per_region",
            short_repr(proposed.partitions_per_region),
            "must not change while entries run: they would disagree on who owns a target",
            f"keep {current.partitions_per_region}",
        )
