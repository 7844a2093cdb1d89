"""Searches for runs in which a partition has two owners.

Run ``python -m bench.ownership_search [--runs N]``. Each run simulates a fleet under random faults
that follow from the seed. The chosen rules and several variants, most of them weaker, run with the
same seeds. For each set of rules it prints the runs with two owners, the takeovers, and the runs
with partitions that are still unserved after all faults have healed.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import AbstractContextManager, contextmanager, nullcontext
from dataclasses import dataclass, field, replace
from functools import partial
from unittest import mock

import defopt

from fireflyfork import ChangeId, MemberId
from fireflyfork.decisions import (
    ChangeKind,
    FleetRecord,
    GuardAnswer,
    Member,
    MembershipState,
    MembershipTiming,
    RightRules,
)
from fireflyfork.decisions import _fleet_changes as changes
from fireflyfork.decisions import _membership_guards as guards
from fireflyfork.decisions.tests.builders_ownership import (
    SIX_PLACES,
    FleetSimulation,
    large_fleet_places,
)
from fireflyfork.decisions.tests.builders_rights import (
    AcknowledgesWithoutRight,
    DatedFromReceipt,
    NoWait,
    OldValueSettles,
    WaitWithoutDrift,
)

_SETTLE_SECONDS = 8.0
_FAULT_SECONDS = 40.0
_HEAL_SECONDS = 25.0


class _NoPairs(RightRules):
    def answer(self, holds_right: bool, own_guard: MemberId | None, asker: MemberId) -> GuardAnswer:
        return GuardAnswer(holds_right)


class _DoubleWait(RightRules):
    def takeover_wait(self, timing: MembershipTiming) -> float:
        return 2 * super().takeover_wait(timing)


@contextmanager
def _joiner_changes_guards() -> Iterator[None]:
    """Let a joining member become the guard of others without informing their current guards."""
    join = changes.join

    def join_and_change_guards(
        record: FleetRecord, newcomer: Member, change_id: ChangeId
    ) -> FleetRecord | None:
        joined = join(record, newcomer, change_id)
        if joined is None:
            return None
        name = newcomer.member_id
        members = dict(joined.members)
        for other, member in joined.members.items():
            if other != name and member.zone.region == newcomer.zone.region:
                members[other] = replace(member, guard=name)
        return replace(joined, members=members)

    with mock.patch.object(changes, "join", join_and_change_guards):
        yield


@contextmanager
def _fence_changes_guards() -> Iterator[None]:
    """Assign new guards to the wards of a fenced member at the fence instead of at the takeover."""
    fence = changes.fence

    def fence_and_change_guards(
        record: FleetRecord, ward: MemberId, by: MemberId, change_id: ChangeId
    ) -> FleetRecord | None:
        fenced = fence(record, ward, by, change_id)
        if fenced is None:
            return None
        members = dict(fenced.members)
        for name, member in fenced.members.items():
            if member.guard == ward:
                members[name] = replace(member, guard=changes.choose_guard(members, member))
        return replace(fenced, members=members)

    with mock.patch.object(changes, "fence", fence_and_change_guards):
        yield


@contextmanager
def _old_guard_counts() -> Iterator[None]:
    """Let a member still count its old guard's acknowledgements while it replaces that guard."""
    writes = guards._writes

    def writes_except_guard_change(state: MembershipState, kind: ChangeKind) -> bool:
        return kind is not ChangeKind.CHANGE_GUARD and writes(state, kind)

    with mock.patch.object(guards, "_writes", writes_except_guard_change):
        yield


@dataclass(frozen=True)
class Variant:
    """A set of rules to run, with a patch of the product's decisions where rules don't suffice."""

    name: str
    rules: RightRules = field(default_factory=RightRules)
    patch: Callable[[], AbstractContextManager[None]] = nullcontext


VARIANTS = (
    Variant("chosen"),
    Variant("chosen without renewing pairs", _NoPairs()),
    Variant("chosen, every wait doubled", _DoubleWait()),
    Variant("guard acknowledges without own right", AcknowledgesWithoutRight()),
    Variant("right dated from receipt", DatedFromReceipt()),
    Variant("no wait between fence and takeover", NoWait()),
    Variant("wait without drift margin", WaitWithoutDrift()),
    Variant("read of the old value settles a write", OldValueSettles()),
    Variant("newcomer changes others' guards", patch=_joiner_changes_guards),
    Variant("newcomer changes guards, waits doubled", _DoubleWait(), _joiner_changes_guards),
    Variant("fence changes the wards' guards", patch=_fence_changes_guards),
    Variant("fence changes guards, waits doubled", _DoubleWait(), _fence_changes_guards),
    Variant("old guard counts while replaced", patch=_old_guard_counts),
)


@dataclass(frozen=True)
class Outcome:
    """The result of one run."""

    seed: int
    two_owners: bool
    unserved: int
    dead_cycle: bool
    counts: Counter[str]


def run_variant(variant_index: int, places: tuple[str, ...], seed: int) -> Outcome:
    """Run the variant at index ``variant_index`` with one seed."""
    variant = VARIANTS[variant_index]
    with variant.patch():
        simulation = FleetSimulation(seed, places, variant.rules)
        simulation.run(_SETTLE_SECONDS)
        simulation.run_with_faults(_FAULT_SECONDS)
        simulation.heal()
        simulation.run(_HEAL_SECONDS)
    return Outcome(
        seed,
        bool(simulation.violations),
        len(simulation.unserved()),
        simulation.dead_cycle(),
        simulation.counts,
    )


def main(
    *, runs: int = 300, chosen_runs: int = 3000, letter_runs: int = 200, processes: int = 4
) -> None:
    """Run all variants.

    :param runs: Runs of each weaker variant.
    :param chosen_runs: Runs of the chosen rules.
    :param letter_runs: Runs of the chosen rules with 18 members over 7 regions.
    :param processes: Processes to spread the runs over.
    """
    with ProcessPoolExecutor(processes) as pool:
        for variant_index, variant in enumerate(VARIANTS):
            seeds = range(chosen_runs if variant_index == 0 else runs)
            began = time.perf_counter()
            run = partial(run_variant, variant_index, SIX_PLACES)
            outcomes = list(pool.map(run, seeds, chunksize=10))
            _print(variant, outcomes, time.perf_counter() - began)
        began = time.perf_counter()
        run = partial(run_variant, 0, large_fleet_places(18))
        outcomes = list(pool.map(run, range(letter_runs), chunksize=5))
        large_fleet = replace(VARIANTS[0], name="chosen, 18 members over 7 regions")
        _print(large_fleet, outcomes, time.perf_counter() - began)


def _print(variant: Variant, outcomes: list[Outcome], seconds: float) -> None:
    if not outcomes:
        return
    total: Counter[str] = Counter()
    for outcome in outcomes:
        total += outcome.counts
    two_owner_seeds = [outcome.seed for outcome in outcomes if outcome.two_owners]
    cycles = sum(1 for result in outcomes if result.unserved and result.dead_cycle)
    unserved_seeds = [
        result.seed for result in outcomes if result.unserved and not result.dead_cycle
    ]
    print(
        f"{variant.name}: two owners in {len(two_owner_seeds)} of {len(outcomes)} runs"
        f" (first seeds {two_owner_seeds[:3]}); {total['take-over']} takeovers, {total['fenced']} fenced"
        f" alive, {total['move']} moves, {total['leave']} planned stops, {total['join']} joins;"
        f" unserved after healing: {len(unserved_seeds)} (seeds {unserved_seeds[:3]}), behind dead members that"
        f" guard each other: {cycles}; {seconds:.0f} s",
        flush=True,
    )


if __name__ == "__main__":
    defopt.run(main)
