"""Measures the cost of membership: ``python -m bench.ownership_costs [--seeds N]``.

Prints takeover times, the number of members that stop when another dies during a store outage,
store calls and messages of an idle fleet and of a day with failures and restarts, the size of the
fleet record, and the processor time per member. Times are simulated except for the processor time,
which depends on this machine.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from statistics import mean, quantiles

import defopt

from fireflyfork import ConfigurationVersion, MemberId, Revision
from fireflyfork.adapters import encode_content
from fireflyfork.decisions import FleetRecord, GuardAnswer, Member, encode_fleet
from fireflyfork.decisions.tests.builders_fleet import balanced, fleet, member
from fireflyfork.decisions.tests.builders_ownership import (
    NO_FAULTS,
    SIX_PLACES,
    FleetSimulation,
    Process,
    large_fleet_places,
)
from fireflyfork.programs._guard_channel import GuardQuestion, GuardReply

_SETTLE_SECONDS = 20.0
_LONGEST_TAKEOVER_SECONDS = 30.0
_STEP_SECONDS = 0.05
_OUTAGE_SECONDS = 60.0
_HOUR = 3600.0
_CHURN_HOURS = 2.0
_FAILURES_PER_DAY = 19
_RESTARTS_PER_DAY = 150


_FLEETS = {
    "6 entries, 2 regions": SIX_PLACES,
    "9 entries, 2 regions": (*SIX_PLACES, "viti/suva", "viti/nadi", "vanua/labasa"),
    "18 entries, 7 regions": large_fleet_places(18),
}


def _settled_simulation(places: tuple[str, ...], seed: int) -> FleetSimulation:
    simulation = FleetSimulation(seed, places, faults=NO_FAULTS)
    simulation.run(_SETTLE_SECONDS)
    return simulation


def _takeover_seconds(places: tuple[str, ...], seeds: int) -> Iterator[float]:
    """Yield the seconds from the death of a random member until all partitions are served again."""
    for seed in range(seeds):
        simulation = _settled_simulation(places, seed)
        simulation.kill(simulation.random.choice(simulation.processes))
        died = simulation.now
        while simulation.unserved() and simulation.now - died < _LONGEST_TAKEOVER_SECONDS:
            simulation.run(_STEP_SECONDS)
        yield simulation.now - died


def _stopped_in_outage(places: tuple[str, ...], seeds: int, churned: bool) -> Iterator[int]:
    """Yield the number of other members that stop when one dies while the store is down."""
    for seed in range(seeds):
        simulation = _settled_simulation(places, seed)
        if churned:
            _churn(simulation, events=len(places))
        simulation.store_down_until = simulation.now + _OUTAGE_SECONDS
        simulation.kill(simulation.random.choice(simulation.processes))
        simulation.run(_OUTAGE_SECONDS / 2)
        stopped = [one for one in simulation.processes if one.expires <= simulation.now]
        yield len(stopped)


def _churn(simulation: FleetSimulation, events: int) -> None:
    for _ in range(events):
        victim = simulation.random.choice(simulation.processes)
        simulation.kill(victim)
        simulation.restart(victim, same_address=False, delay=simulation.random.uniform(1, 8))
        simulation.run(15)


def _idle_hour(places: tuple[str, ...]) -> Counter[str]:
    simulation = _settled_simulation(places, 1)
    simulation.counts.clear()
    simulation.run(_HOUR)
    return simulation.counts


def _churned_day(places: tuple[str, ...]) -> Counter[str]:
    """Return the store calls of a day's failures and restarts, compressed into two hours."""
    simulation = _settled_simulation(places, 2)
    simulation.counts.clear()
    events = [True] * _FAILURES_PER_DAY + [False] * _RESTARTS_PER_DAY
    simulation.random.shuffle(events)
    pause = _CHURN_HOURS * _HOUR / len(events)
    for is_failure in events:
        victim: Process = simulation.random.choice(simulation.processes)
        if is_failure:
            simulation.kill(victim)
            simulation.restart(victim, same_address=False, delay=simulation.random.uniform(5, 30))
        else:
            simulation.stop(victim)
        simulation.run(pause)
    return simulation.counts


def _record_sizes() -> tuple[int, float, float, int]:
    """Return the bytes of an empty record, per member, per partition, and of the design size.

    The design size is 18 entries and 224 partitions.
    """

    def sized(members: int, partitions: int) -> int:
        newcomers = [_member_with_long_id(number) for number in range(members)]
        return len(encode_fleet(balanced(fleet(newcomers, partitions))))

    empty = len(encode_fleet(FleetRecord()))
    per_member = (sized(18, 32) - sized(9, 32)) / 9
    per_partition = (sized(9, 128) - sized(9, 32)) / 96
    newcomers = [
        _member_with_long_id(number, place) for number, place in enumerate(large_fleet_places(18))
    ]
    design_size = len(encode_fleet(balanced(fleet(newcomers, 32))))
    return empty, per_member, per_partition, design_size


def _member_with_long_id(number: int, place: str = "region-1/failure-domain-1") -> Member:
    """Return a member whose id is as long as a UUID."""
    return replace(member(str(number), place, 8000 + number), member_id=_long_id(number))


def _long_id(number: int) -> MemberId:
    return MemberId(f"0198c0de-0000-7000-8000-{number:012}")


def _processor_seconds(places: tuple[str, ...]) -> float:
    """Return the processor seconds per member and simulated second, simulation included."""
    simulation = _settled_simulation(places, 3)
    began = time.process_time()
    simulation.run(300)
    return (time.process_time() - began) / 300 / len(places)


def main(*, seeds: int = 100) -> None:
    """Measure and print all figures.

    :param seeds: Runs for each distribution.
    """
    for name, places in _FLEETS.items():
        cuts = quantiles(_takeover_seconds(places, seeds), n=100)
        print(f"{name}: takeover seconds p50 {cuts[49]:.2f}, p99 {cuts[98]:.2f}", flush=True)
        stopped_without_churn = list(_stopped_in_outage(places, seeds, churned=False))
        stopped_after_churn = list(_stopped_in_outage(places, seeds, churned=True))
        print(
            f"{name}: living members stopped by one death in a store outage:"
            f" mean {mean(stopped_without_churn):.2f}, most {max(stopped_without_churn)};"
            f" after churn mean {mean(stopped_after_churn):.2f}, most {max(stopped_after_churn)}",
            flush=True,
        )
        idle = _idle_hour(places)
        per_member = (idle["ask"] * 2 + idle["offer"]) / _HOUR / len(places)
        print(
            f"{name}: idle: {idle['read']} reads, {idle['write']} writes an hour besides watches;"
            f" {per_member:.2f} messages/s per member, answers counted",
            flush=True,
        )
        day = _churned_day(places)
        print(
            f"{name}: {_FAILURES_PER_DAY} failures and {_RESTARTS_PER_DAY} restarts:"
            f" {day['read']} reads, {day['write']} writes, {day['offer']} offers",
            flush=True,
        )
        print(
            f"{name}: processor {_processor_seconds(places) * 100:.3f} % of a core per member",
            flush=True,
        )
    empty, per_member_bytes, per_partition, design_size = _record_sizes()
    print(
        f"record: {empty} bytes empty, {per_member_bytes:.0f} per member,"
        f" {per_partition:.1f} per partition, {design_size} at 18 entries and 224 partitions"
    )
    question = GuardQuestion(_long_id(1), 123456, Revision(98765), ConfigurationVersion(4321))
    reply = GuardReply(123456, GuardAnswer(True), Revision(98765), ConfigurationVersion(4321))
    print(
        f"question {len(encode_content(question))} bytes, reply {len(encode_content(reply))} bytes"
        " before framing"
    )


if __name__ == "__main__":
    defopt.run(main)
