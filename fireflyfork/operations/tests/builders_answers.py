"""Answers and configurations for tests: the shipped examples and a strategy of valid answers."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from hypothesis import strategies

from ... import Configuration
from .. import (
    Answers,
    ByteCount,
    ByteRate,
    Cores,
    Duration,
    ExecutorAnswer,
    JobAnswer,
    LinkAnswer,
    Measure,
    RegionAnswer,
    ServiceAnswer,
    Share,
    TeamAnswer,
    WorkerAnswer,
    decode_document,
    generate,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
EXAMPLE_NAMES = ("naidu", "kastings")


def example_text(name: str) -> str:
    """Return the text of an example's file of answers."""
    return (EXAMPLES / name / "answers.jsonc").read_text("utf-8")


def example_answers(name: str) -> Answers:
    """Return the decoded answers of an example."""
    decoded = decode_document(Answers, example_text(name))
    assert decoded.value is not None, decoded.violations
    return decoded.value


def example_configuration(name: str = "naidu") -> Configuration:
    """Return the configuration generated from an example's answers."""
    return generate(example_answers(name)).configuration


def placed_configuration() -> Configuration:
    """Return the Naidu configuration with six replicas of its service for the planner to place."""
    answers = example_answers("naidu")
    service = replace(
        answers.services[0],
        replicas=6,
        cores=Cores.parse("2cores"),
        memory=ByteCount.parse("8GB"),
    )
    return generate(replace(answers, services=(service,))).configuration


@strategies.composite
def valid_answers(draw: strategies.DrawFn) -> Answers:
    """Draw answers that break no rule: quotas and replicas always fit in the workers."""
    domain_counts = draw(strategies.lists(strategies.integers(1, 3), min_size=1, max_size=4))
    regions = tuple(
        RegionAnswer(f"r{number}", tuple(f"r{number}-{letter}" for letter in "abc"[:count]))
        for number, count in enumerate(domain_counts)
    )
    one_way = draw(strategies.sampled_from(["5ms", "20ms", "0.08s"]))
    links = tuple(
        LinkAnswer(
            (regions[0].name, region.name),
            Duration.parse(one_way),
            ByteRate.parse(draw(strategies.sampled_from(["15Mbit/s", "1GB/s"]))),
            Share.parse(draw(strategies.sampled_from(["0%", "20%", "100%"]))),
        )
        for region in regions[1:]
    )
    domains = tuple(domain for region in regions for domain in region.failure_domains)
    teams = tuple(TeamAnswer(f"team-{number}") for number in range(draw(strategies.integers(1, 3))))
    return Answers(
        organisation=draw(strategies.text(max_size=20)),
        regions=regions,
        workers=_workers(domains, draw(strategies.integers(1, 40))),
        teams=teams,
        services=_services(draw, domains, teams),
        links=links,
        jobs=tuple(
            JobAnswer(
                f"job-{team.name}",
                team.name,
                draw(strategies.integers(0, 2)),
                Cores.parse("500m"),
                ByteCount.parse("1GiB"),
            )
            for team in teams
        ),
        matters_most=tuple(draw(strategies.permutations(list(Measure)))),
    )


def _workers(domains: tuple[str, ...], count: int) -> tuple[WorkerAnswer, ...]:
    cores, memory = Cores.parse("32cores"), ByteCount.parse("128GB")
    return tuple(WorkerAnswer(domain, count, cores, memory, per_rack=1) for domain in domains)


def _services(
    draw: strategies.DrawFn, domains: tuple[str, ...], teams: tuple[TeamAnswer, ...]
) -> tuple[ServiceAnswer, ...]:
    objective = draw(strategies.sampled_from(["200ms", "400ms", "1s"]))
    return tuple(
        ServiceAnswer(
            name=f"service-{number}",
            team=draw(strategies.sampled_from(teams)).name,
            longest_run=Duration.parse("2s"),
            longest_timeout=Duration.parse("1min"),
            timeout=draw(strategies.sampled_from([None, Duration.parse("5s")])),
            objective=Duration.parse(objective),
            slots=draw(strategies.integers(1, 16)),
            connections=64,
            queue=draw(strategies.integers(0, 50)),
            executors=tuple(
                ExecutorAnswer(domain, 2, f"10.{number}.{place}.1:9000")
                for place, domain in enumerate(domains)
            ),
            replicas=draw(strategies.integers(0, 2)) if len(domains) > 1 else 0,
            cores=Cores.parse("1core"),
            memory=ByteCount.parse("2GB"),
        )
        for number in range(draw(strategies.integers(1, 3)))
    )
