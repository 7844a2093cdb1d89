"""Generates a configuration from answers and records the answer behind each value.

Generated lists follow the order of the answers, and the name of a target depends only on its
service, its failure domain and its index there. Generating again from the same answers gives the
same text, and a changed answer changes only the lines that depend on it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .._contracts import (
    Configuration,
    ServiceContract,
    TargetContract,
    TeamContract,
    Weights,
    WorkerGroup,
)
from .._errors import SettingsError
from .._ids import (
    ChangeId,
    ConfigurationVersion,
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetId,
    TeamName,
)
from .._links import Address, RegionLink
from .._machines import Resources
from .._zones import Region
from ._answers import Answers, ExecutorAnswer, JobAnswer, Measure, ServiceAnswer
from ._sources import sources_of
from ._violations import Violation, short_repr

UNAPPLIED = ConfigurationVersion(0)
"""The version of a generated configuration that no store has accepted."""

NO_CHANGE = ChangeId("")
"""The change id of a configuration that no store has accepted."""


@dataclass(frozen=True, slots=True)
class Generated:
    """A generated configuration and the answers behind its values."""

    configuration: Configuration
    sources: Mapping[str, str]
    """Maps the path of a value or record to a description of its answer."""


def generate(answers: Answers, version: ConfigurationVersion = UNAPPLIED) -> Generated:
    """Generate the configuration; ``version`` is the version in the store that it will replace.

    Raises SettingsError if the answers don't give an address for each executor;
    ``unusable_addresses`` lists these answers. All other errors are left to the checks of the
    generated configuration.
    """
    configuration = Configuration(
        version=version,
        change_id=NO_CHANGE,
        regions=tuple(_regions(answers)),
        services=tuple(_service(service) for service in answers.services),
        targets=tuple(_targets(answers)),
        teams=tuple(_teams(answers)),
        links=tuple(_links(answers)),
        weights=_weights(answers),
        partitions_per_region=answers.partitions,
        workers=tuple(_workers(answers)),
    )
    return Generated(configuration, dict(sources_of(answers)))


def unusable_addresses(answers: Answers) -> Iterator[Violation]:
    """Yield a violation for each group of executors whose addresses are missing or invalid."""
    for service_index, service in enumerate(answers.services):
        for group_index, executors in enumerate(service.executors):
            try:
                addresses_of(executors)
            except SettingsError as error:
                path = f"services[{service_index}].executors[{group_index}]"
                value = executors.first_address or list(executors.addresses)
                fix = "give first_address as IP:port, or one address for each executor"
                yield Violation(path, short_repr(value), str(error), fix)


def addresses_of(executors: ExecutorAnswer) -> tuple[str, ...]:
    """Return the address of each executor of a group.

    Executors without listed addresses have consecutive ports from ``first_address`` on. Raises
    SettingsError if addresses are missing, invalid or don't match the count.
    """
    if executors.addresses:
        if len(executors.addresses) != executors.count or executors.first_address is not None:
            raise SettingsError("the number of addresses must be the count, without first_address")
        return tuple(str(Address.parse(address)) for address in executors.addresses)
    if executors.first_address is None:
        raise SettingsError("executors need first_address or addresses")
    first = Address.parse(executors.first_address)
    return tuple(
        str(Address.parse(str(Address(first.host, first.port + offset))))
        for offset in range(executors.count)
    )


def _regions(answers: Answers) -> Iterator[Region]:
    for region in answers.regions:
        domains = tuple(FailureDomainName(domain) for domain in region.failure_domains)
        yield Region(RegionName(region.name), domains)


def _links(answers: Answers) -> Iterator[RegionLink]:
    for link in answers.links:
        yield RegionLink(
            (RegionName(link.between[0]), RegionName(link.between[1])),
            link.one_way.milliseconds,
            link.capacity.rounded_amount,
            link.spill.fraction,
        )


def _workers(answers: Answers) -> Iterator[WorkerGroup]:
    for group in answers.workers:
        yield WorkerGroup(
            FailureDomainName(group.failure_domain),
            group.count,
            group.per_rack,
            Resources(group.cores.millicores, group.memory.rounded_amount, group.accelerators),
        )


def _service(answer: ServiceAnswer) -> ServiceContract:
    return ServiceContract(
        name=ServiceName(answer.name),
        team=TeamName(answer.team),
        longest_run_seconds=answer.longest_run.seconds,
        default_timeout_seconds=None if answer.timeout is None else answer.timeout.seconds,
        longest_timeout_seconds=answer.longest_timeout.seconds,
        latency_objective_milliseconds=answer.objective.milliseconds,
        longest_queue=answer.queue,
        longest_body_bytes=answer.largest_request.rounded_amount,
        replicas=answer.replicas,
        resources=Resources(
            answer.cores.millicores, answer.memory.rounded_amount, answer.accelerators
        ),
        tolerance=answer.when_disturbed,
    )


def _targets(answers: Answers) -> Iterator[TargetContract]:
    for service in answers.services:
        for executors in service.executors:
            yield from _targets_of(answers, service, executors)


def _targets_of(
    answers: Answers, service: ServiceAnswer, executors: ExecutorAnswer
) -> Iterator[TargetContract]:
    domain = executors.failure_domain
    for number, address in enumerate(addresses_of(executors), start=1):
        yield TargetContract(
            target_id=TargetId(f"{service.name}-{domain}-{number}"),
            service=ServiceName(service.name),
            address=address,
            region=_region_of(answers, domain),
            failure_domain=FailureDomainName(domain),
            slots=service.slots,
            connections=service.connections,
        )


def _region_of(answers: Answers, domain: str) -> RegionName:
    """Return a failure domain's region, or an empty name, which the checks report as unknown."""
    names = (region.name for region in answers.regions if domain in region.failure_domains)
    return RegionName(next(names, ""))


def _teams(answers: Answers) -> Iterator[TeamContract]:
    for team in answers.teams:
        sizes = (_concurrent_resources(job) for job in answers.jobs if job.team == team.name)
        quota = sum(sizes, start=Resources())
        yield TeamContract(TeamName(team.name), quota, team.when_disturbing, team.urgent)


def _concurrent_resources(job: JobAnswer) -> Resources:
    """Return the total reservation of the tasks of a job that may run at once."""
    return Resources(
        job.cores.millicores * job.tasks_at_once,
        job.memory.rounded_amount * job.tasks_at_once,
        job.accelerators * job.tasks_at_once,
    )


def _weights(answers: Answers) -> Weights:
    """Give each ranked measure twice the weight of the next; an unranked measure has weight 1."""
    ranked = answers.matters_most
    weight = {measure: 2.0 ** (len(ranked) - rank) for rank, measure in enumerate(ranked)}
    return Weights(
        tail_latency=weight.get(Measure.TAIL_LATENCY, 1.0),
        evictions=weight.get(Measure.EVICTIONS, 1.0),
        throughput=weight.get(Measure.THROUGHPUT, 1.0),
    )
