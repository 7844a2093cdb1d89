"""Rules on several values of a configuration; each generator yields the values that break one."""

from __future__ import annotations

import ipaddress
from collections import Counter
from collections.abc import Iterator
from typing import Any

from .._contract_codec import encode_contracts
from .._contracts import Configuration, ServiceContract, WorkerGroup
from .._errors import SettingsError
from .._ids import FailureDomainName, RegionName
from .._links import Address
from .._machines import Resources
from ._rules import LocatedValue

MAX_STORED_BYTES = 990_000
"""Maximum encoded size of a configuration.

The store accepts values up to a megabyte; the remainder is left for the metadata of versions.
"""

_MILLICORES = 1000
_MIN_BYTES_PER_CORE = 1 << 20

LocatedValues = Iterator[LocatedValue[Any]]


def unusable_addresses(configuration: Configuration) -> LocatedValues:
    """Targets whose address is malformed, unspecified or multicast, so no entry can connect."""
    for index, target in enumerate(configuration.targets):
        if not _is_usable(target.address):
            yield LocatedValue(f"targets[{index}].address", target.address)


def misplaced_targets(configuration: Configuration) -> LocatedValues:
    """Targets whose failure domain does not belong to their region."""
    domains = {region.name: region.failure_domains for region in configuration.regions}
    for index, target in enumerate(configuration.targets):
        if target.failure_domain not in domains.get(target.region, ()):
            place = f"{target.failure_domain} in {target.region or 'no region'}"
            yield LocatedValue(f"targets[{index}].failure_domain", place)


def too_few_connections(configuration: Configuration) -> LocatedValues:
    """Targets with fewer connections than slots, which can never use all their slots."""
    for index, target in enumerate(configuration.targets):
        if target.connections < target.slots:
            yield LocatedValue(f"targets[{index}].connections", target.connections)


def services_without_targets(configuration: Configuration) -> LocatedValues:
    """Services that can't answer requests: they have neither targets nor placed replicas."""
    served = {target.service for target in configuration.targets}
    for index, service in enumerate(configuration.services):
        if service.name not in served and not service.replicas:
            yield LocatedValue(f"services[{index}].name", service.name)


def services_in_one_domain(configuration: Configuration) -> LocatedValues:
    """Services with several targets, all in one failure domain although others exist.

    The failure of that domain would make the service unavailable.
    """
    if sum(len(region.failure_domains) for region in configuration.regions) < 2:
        return
    for index, service in enumerate(configuration.services):
        targets = [each for each in configuration.targets if each.service == service.name]
        domains = {target.failure_domain for target in targets}
        if len(targets) > 1 and len(domains) == 1:
            yield LocatedValue(f"services[{index}].name", f"{service.name} only in {min(domains)}")


def default_above_longest(configuration: Configuration) -> LocatedValues:
    """Services whose default timeout exceeds the longest permitted timeout."""
    for index, service in enumerate(configuration.services):
        default = service.default_timeout_seconds
        if default is not None and default > service.longest_timeout_seconds:
            yield LocatedValue(f"services[{index}].default_timeout_seconds", default)


def objective_above_timeout(configuration: Configuration) -> LocatedValues:
    """Services whose latency objective exceeds the timeout after which callers give up."""
    for index, service in enumerate(configuration.services):
        if service.latency_objective_milliseconds > _implicit_timeout(service) * 1000:
            path = f"services[{index}].latency_objective_milliseconds"
            yield LocatedValue(path, service.latency_objective_milliseconds)


def run_above_longest_timeout(configuration: Configuration) -> LocatedValues:
    """Services whose executors may still run a request after the longest permitted timeout."""
    for index, service in enumerate(configuration.services):
        if service.longest_run_seconds > service.longest_timeout_seconds:
            yield LocatedValue(
                f"services[{index}].longest_run_seconds", service.longest_run_seconds
            )


def run_below_objective(configuration: Configuration) -> LocatedValues:
    """Services whose slots count as free before the latency objective has passed.

    The slot of a slow request would be reused while its executor is still busy, and the executor
    would get more requests than it has slots.
    """
    for index, service in enumerate(configuration.services):
        if service.longest_run_seconds * 1000 < service.latency_objective_milliseconds:
            yield LocatedValue(
                f"services[{index}].longest_run_seconds", service.longest_run_seconds
            )


def timeout_within_round_trip(configuration: Configuration) -> LocatedValues:
    """Services whose default timeout is below the slowest link's round trip plus the objective."""
    round_trip = max((2 * link.one_way_milliseconds for link in configuration.links), default=0.0)
    for index, service in enumerate(configuration.services):
        needed = round_trip + service.latency_objective_milliseconds
        if round_trip and _implicit_timeout(service) * 1000 < needed:
            path = f"services[{index}].default_timeout_seconds"
            yield LocatedValue(path, _implicit_timeout(service))


def objective_within_round_trip(configuration: Configuration) -> LocatedValues:
    """Services whose objective is not above the round trip from some region without targets."""
    for index, service in enumerate(configuration.services):
        round_trip = _longest_round_trip(configuration, service)
        if round_trip >= service.latency_objective_milliseconds:
            path = f"services[{index}].latency_objective_milliseconds"
            yield LocatedValue(path, service.latency_objective_milliseconds)


def links_of_one_region(configuration: Configuration) -> LocatedValues:
    """Links whose two regions are the same."""
    for index, link in enumerate(configuration.links):
        if link.regions[0] == link.regions[1]:
            yield LocatedValue(f"links[{index}].regions", link.regions)


def repeated_links(configuration: Configuration) -> LocatedValues:
    """Links between two regions that an earlier link already joins."""
    seen: set[frozenset[RegionName]] = set()
    for index, link in enumerate(configuration.links):
        ends = frozenset(link.regions)
        if ends in seen:
            yield LocatedValue(f"links[{index}].regions", link.regions)
        seen.add(ends)


def unlinked_regions(configuration: Configuration) -> LocatedValues:
    """Regions without a link, if there are several regions."""
    linked = {name for link in configuration.links for name in link.regions}
    for index, region in enumerate(configuration.regions):
        if len(configuration.regions) > 1 and region.name not in linked:
            yield LocatedValue(f"regions[{index}].name", region.name)


def replicas_without_size(configuration: Configuration) -> LocatedValues:
    """Services that the planner places although they declare no processors or no memory."""
    for index, service in enumerate(configuration.services):
        size = service.resources
        if service.replicas and not (size.millicores and size.memory):
            yield LocatedValue(f"services[{index}].resources", size)


def replicas_that_fit_nowhere(configuration: Configuration) -> LocatedValues:
    """Services whose replica fits in no worker."""
    for index, service in enumerate(configuration.services):
        if service.replicas and configuration.workers and not _domains_for(configuration, service):
            yield LocatedValue(f"services[{index}].resources", service.resources)


def replicas_without_spread(configuration: Configuration) -> LocatedValues:
    """Services with several replicas that fit in only one of the workers' failure domains."""
    all_domains = {group.failure_domain for group in configuration.workers}
    for index, service in enumerate(configuration.services):
        domains = _domains_for(configuration, service)
        if service.replicas > 1 and len(domains) == 1 and len(all_domains) > 1:
            yield LocatedValue(f"services[{index}].replicas", service.replicas)


def replicas_exceeding_reduced_capacity(configuration: Configuration) -> LocatedValues:
    """The total of all replicas, if it doesn't fit without the workers of some failure domain."""
    capacities = _capacity_by_domain(configuration)
    if len(capacities) < 2:
        return
    reserved = _reserved_by_services(configuration)
    total = sum(capacities.values(), start=Resources())
    if not all(reserved.fits_in(total - capacity) for capacity in capacities.values()):
        yield LocatedValue("services", reserved)


def quotas_beyond_workers(configuration: Configuration) -> LocatedValues:
    """The total of all quotas, if quotas and replicas together exceed the workers' capacity."""
    if not configuration.workers:
        return
    total = sum(_capacity_by_domain(configuration).values(), start=Resources())
    quotas = sum((team.quota for team in configuration.teams), start=Resources())
    if not (quotas + _reserved_by_services(configuration)).fits_in(total):
        yield LocatedValue("teams", quotas)


def incomplete_quotas(configuration: Configuration) -> LocatedValues:
    """Quotas with processors but no memory or the reverse, under which no task can run."""
    for index, team in enumerate(configuration.teams):
        if bool(team.quota.millicores) != bool(team.quota.memory):
            yield LocatedValue(f"teams[{index}].quota", team.quota)


def too_little_memory_per_core(configuration: Configuration) -> LocatedValues:
    """Sizes with memory below 1 MiB for each core, which was surely given in another unit."""
    for path, size in _sizes(configuration):
        if size.memory and size.memory * _MILLICORES < size.millicores * _MIN_BYTES_PER_CORE:
            yield LocatedValue(path, size)


def racks_larger_than_group(configuration: Configuration) -> LocatedValues:
    """Groups of workers with more workers per rack than the group contains."""
    for index, group in enumerate(configuration.workers):
        if group.workers_per_rack > group.count:
            yield LocatedValue(f"workers[{index}].workers_per_rack", group.workers_per_rack)


def weights_all_zero(configuration: Configuration) -> LocatedValues:
    """Weights that are all zero, under which all placements are rated equal."""
    weights = configuration.weights
    if not (weights.tail_latency or weights.evictions or weights.throughput):
        yield LocatedValue("weights", weights)


def configuration_too_large_to_store(configuration: Configuration) -> LocatedValues:
    """A configuration whose encoded size exceeds ``MAX_STORED_BYTES``."""
    size = len(encode_contracts(configuration))
    if size > MAX_STORED_BYTES:
        yield LocatedValue("file", f"{size} bytes")


def queue_beyond_timeout(configuration: Configuration) -> LocatedValues:
    """Queues whose last request would wait longer than the longest permitted timeout.

    The rule assumes that each request takes as long as the latency objective and that one entry has
    all slots of its region: its queue drains in objective * queue length / slots. The region with
    the fewest slots decides.
    """
    for index, service in enumerate(configuration.services):
        slots = _fewest_slots_of_a_region(configuration, service)
        drain = service.longest_queue * service.latency_objective_milliseconds / max(slots, 1)
        if slots and drain > service.longest_timeout_seconds * 1000:
            yield LocatedValue(f"services[{index}].longest_queue", service.longest_queue)


def _sizes(configuration: Configuration) -> Iterator[tuple[str, Resources]]:
    """Yield the path and value of all amounts of resources."""
    for index, service in enumerate(configuration.services):
        yield f"services[{index}].resources", service.resources
    for index, team in enumerate(configuration.teams):
        yield f"teams[{index}].quota", team.quota
    for index, group in enumerate(configuration.workers):
        yield f"workers[{index}].capacity", group.capacity


def _is_usable(address: str) -> bool:
    try:
        number = ipaddress.ip_address(Address.parse(address).host)
    except SettingsError:
        return False
    return not (number.is_unspecified or number.is_multicast)


def _implicit_timeout(service: ServiceContract) -> float:
    """Return the timeout, in seconds, of a request that names none.

    Without a default timeout, requests must name one; then the longest permitted timeout counts.
    """
    if service.default_timeout_seconds is None:
        return service.longest_timeout_seconds
    return min(service.default_timeout_seconds, service.longest_timeout_seconds)


def _longest_round_trip(configuration: Configuration, service: ServiceContract) -> float:
    """Return the longest round trip, in milliseconds, from a region without targets to a target."""
    target_regions = {each.region for each in configuration.targets if each.service == service.name}
    if not target_regions:
        return 0.0
    return max(
        (
            _shortest_round_trip(configuration, region.name, target_regions)
            for region in configuration.regions
            if region.name not in target_regions
        ),
        default=0.0,
    )


def _shortest_round_trip(
    configuration: Configuration, region: RegionName, target_regions: set[RegionName]
) -> float:
    """Return the shortest round trip over one link from a region to any of ``target_regions``."""
    return min(
        (
            2 * link.one_way_milliseconds
            for link in configuration.links
            if region in link.regions and target_regions.intersection(link.regions)
        ),
        default=0.0,
    )


def _domains_for(configuration: Configuration, service: ServiceContract) -> set[FailureDomainName]:
    """Return the failure domains with a worker large enough for one replica."""
    return {
        group.failure_domain
        for group in configuration.workers
        if group.count and service.resources.fits_in(group.capacity)
    }


def _capacity_by_domain(configuration: Configuration) -> dict[FailureDomainName, Resources]:
    capacities: dict[FailureDomainName, Resources] = {}
    for group in configuration.workers:
        known = capacities.get(group.failure_domain, Resources())
        capacities[group.failure_domain] = known + _total(group)
    return capacities


def _total(group: WorkerGroup) -> Resources:
    return _times(group.capacity, group.count)


def _reserved_by_services(configuration: Configuration) -> Resources:
    sizes = (_times(service.resources, service.replicas) for service in configuration.services)
    return sum(sizes, start=Resources())


def _times(size: Resources, count: int) -> Resources:
    return Resources(size.millicores * count, size.memory * count, size.accelerators * count)


def _fewest_slots_of_a_region(configuration: Configuration, service: ServiceContract) -> int:
    slots: Counter[RegionName] = Counter()
    for target in configuration.targets:
        if target.service == service.name:
            slots[target.region] += target.slots
    return min(slots.values(), default=0)
