"""Descriptions of the answer behind each generated value.

Answers are referred to by name, never by index in a list, so that adding an answer doesn't change
the comments on the others.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from enum import Enum

from ._answers import Answers, ServiceAnswer

_SERVICE_SOURCES = {
    "longest_run_seconds": "longest_run",
    "default_timeout_seconds": "timeout",
    "longest_timeout_seconds": "longest_timeout",
    "latency_objective_milliseconds": "objective",
    "longest_queue": "queue",
    "longest_body_bytes": "largest_request",
    "replicas": "replicas",
    "tolerance": "when_disturbed",
}
"""Maps a field of a service's contract to the answer that determines it."""


def sources_of(answers: Answers) -> Iterator[tuple[str, str]]:
    """Yield pairs of the path of a generated value or record and a description of its answer."""
    yield "version", "The version in the store that this file was made to replace; 0 for none."
    yield "partitions_per_region", f"partitions: {answers.partitions}"
    yield "weights", f"matters_most: {', '.join(each.value for each in answers.matters_most)}"
    yield from _place_sources(answers)
    yield from _team_sources(answers)
    for number, service in enumerate(answers.services):
        yield from _service_sources(f"services[{number}]", service)
    yield from _target_sources(answers)


def _place_sources(answers: Answers) -> Iterator[tuple[str, str]]:
    for number, region in enumerate(answers.regions):
        yield f"regions[{number}]", f"regions, {region.name}"
    for number, link in enumerate(answers.links):
        answer = f"{link.one_way} one way, {link.capacity}, spill {link.spill}"
        yield f"links[{number}]", f"links, {' to '.join(link.between)}: {answer}"
    for number, group in enumerate(answers.workers):
        answer = f"{group.count} of {group.cores} and {group.memory}, {group.per_rack} to a rack"
        yield f"workers[{number}]", f"workers, {group.failure_domain}: {answer}"


def _team_sources(answers: Answers) -> Iterator[tuple[str, str]]:
    for number, team in enumerate(answers.teams):
        yield f"teams[{number}]", f"teams, {team.name}"
        jobs = (
            f"{job.name} ({job.tasks_at_once} of {job.cores} and {job.memory})"
            for job in answers.jobs
            if job.team == team.name
        )
        yield f"teams[{number}].quota", f"the sum of its jobs: {', '.join(jobs) or 'none'}"


def _service_sources(path: str, service: ServiceAnswer) -> Iterator[tuple[str, str]]:
    for name, answer in _SERVICE_SOURCES.items():
        yield f"{path}.{name}", f"{answer}: {_format_answer(service, answer)}"
    size = f"cores: {service.cores}, memory: {service.memory}"
    yield f"{path}.resources", f"{size}, accelerators: {service.accelerators}"


def _format_answer(service: ServiceAnswer, answer: str) -> str:
    """Format an answer as written; an answer equal to its default is marked as not answered."""
    value = getattr(service, answer)
    text = str(value.value if isinstance(value, Enum) else value)
    return f"{text} (not answered)" if value == _default(answer) else text


def _default(answer: str) -> object:
    field = next(each for each in dataclasses.fields(ServiceAnswer) if each.name == answer)
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def _target_sources(answers: Answers) -> Iterator[tuple[str, str]]:
    index = 0
    for service in answers.services:
        for executors in service.executors:
            for _ in range(executors.count):
                answer = f"services, {service.name}, executors in {executors.failure_domain}"
                yield f"targets[{index}]", answer
                index += 1
