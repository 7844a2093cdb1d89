"""Estimates the share of runs that fail on each executor, by itself and by its groups.

The fleet's share is the prior of failure domains and versions, the domain's share that of its
racks, and the larger of the rack's and the version's share that of each executor.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ...._ids import ExecutorId
from .._executors import ExecutorRegistration, ExecutorState
from .._stored_estimates import StoredEvidence
from ._evidence import USUAL_FAILURE_SHARE, Evidence, shrunk_share

EXECUTOR_PRIOR_STRENGTH = 1.0
"""Number of results that the share of an executor's groups weighs as much as. One failure of a new
executor isn't enough to avoid it; two in a row are."""
GROUP_PRIOR_STRENGTH = 4.0
"""Number of results that the share of the larger group weighs as much as. One bad executor alone
doesn't make its rack a bad one, but half of a rack of eight that have each failed twice do."""
FLEET_PRIOR_STRENGTH = 5.0
AVOIDED_SHARE = 0.4
"""Estimated share of failures from which an executor is avoided. A task with three attempts, all of
them on such executors, fails its job once in sixteen times."""
MIN_FAILURES = 1.0
"""Failures put down to an executor before it is avoided by itself: more than one. A single failure
only makes it the last choice."""
RELEASED_SHARE = 0.2
"""Estimated share of failures below which an avoided executor is used again without a probe, about
eight seconds after two failures. After a good probe it is used again below the higher share."""
AVOIDED_FLEET_FACTOR = 1.5
"""An executor is avoided only as long as it also fails this multiple of the fleet's share. Half of
the fleet may be avoided if it fails everything; where all executors fail alike, none is avoided for
good."""
PROBE_SECONDS = 1.5
"""Minimum time between two starts on an avoided executor."""
EXECUTORS_PER_PROBE = 8
"""An avoided group gets one run for this many of its executors between two refreshes, and at least
one: a failing rack costs about two runs a second, and a failure domain that has recovered is found sound
within seconds, however large it is."""
NEGLIGIBLE_WEIGHT = 0.02
"""Decayed weight below which the results of an executor are dropped."""
MAX_STORED = 32
"""Executors whose results are stored for a successor, those with the most failures: about 1 KB."""


class Group(NamedTuple):
    """A set of executors that may fail together."""

    kind: str
    """``domain``, ``rack`` or ``version``."""
    name: str


_Groups = tuple[Group, Group, Group]
"""The failure domain, the rack and the version of an executor."""


class Standing(NamedTuple):
    """How an executor is judged at present."""

    excess: float = 0.0
    """By how much its estimated share of failures is above that of the fleet."""
    avoided: bool = False
    blocked: bool = False
    """Whether it is avoided and not to be probed now."""


SOUND = Standing()


@dataclass(slots=True)
class _Sums:
    bad: float = 0.0
    weight: float = 0.0

    def share(self, prior: float, strength: float) -> float:
        return shrunk_share(self.bad, self.weight, prior, strength)


@dataclass(slots=True)
class _Shares:
    """The estimated shares of failures at the last refresh."""

    fleet: float = USUAL_FAILURE_SHARE
    groups: dict[Group, float] = field(default_factory=dict)

    @property
    def limit(self) -> float:
        """The share from which an executor or a group is avoided."""
        return max(AVOIDED_SHARE, AVOIDED_FLEET_FACTOR * self.fleet)

    @property
    def release_limit(self) -> float:
        """The share below which an avoided executor is used again."""
        return max(RELEASED_SHARE, AVOIDED_FLEET_FACTOR * self.fleet)

    def prior(self, groups: _Groups) -> float:
        """Return the share of an executor's groups."""
        domain, rack, version = groups
        in_domain = self.groups.get(domain, self.fleet)
        return max(self.groups.get(rack, in_domain), self.groups.get(version, self.fleet))

    def is_avoided(self, group: Group) -> bool:
        """Whether a group is avoided as a whole."""
        return self.groups.get(group, 0.0) >= self.limit

    def avoided_groups(self) -> set[Group]:
        """Return the groups that are avoided as a whole."""
        return {group for group in self.groups if self.is_avoided(group)}


class ExecutorFailures:
    """The results of the executors of one service, and how each executor is judged."""

    def __init__(self, executors: dict[ExecutorId, ExecutorState]) -> None:
        """Initialize without results, for this live table of executors."""
        self._executors = executors
        self._evidence: dict[ExecutorId, Evidence] = {}
        self._shares = _Shares()
        self._standings: dict[ExecutorId, Standing] = {}
        """Executors that aren't judged as sound."""
        self._groups: dict[ExecutorId, tuple[ExecutorRegistration, _Groups]] = {}
        """The groups of each executor, and the registration that they were taken from."""
        self._probed_at: dict[ExecutorId, float] = {}
        """When an avoided executor last got a run, or an executor last failed."""
        self._members: Counter[Group] = Counter()
        """The number of executors in each group at the last refresh."""
        self._probes: Counter[Group] = Counter()
        """The number of runs on avoided executors of avoided groups since the last refresh."""

    @property
    def fleet_share(self) -> float:
        """The estimated share of runs that fail in the whole fleet."""
        return self._shares.fleet

    def avoided_groups(self) -> dict[Group, float]:
        """Return the groups that are avoided as a whole, with their shares of failures."""
        return {group: self._shares.groups[group] for group in self._shares.avoided_groups()}

    def avoided_executors(self) -> set[ExecutorId]:
        """Return the executors that get no runs except for probes."""
        return {name for name, standing in self._standings.items() if standing.avoided}

    def standing(self, executor: ExecutorId) -> Standing:
        """Return how an executor is judged."""
        return self._standings.get(executor, SOUND)

    def share(self, executor: ExecutorState) -> float:
        """Return the estimated share of runs that fail by the executor's fault."""
        evidence = self._evidence.get(executor.executor) or Evidence()
        return evidence.share(
            self._shares.prior(self._groups_of(executor)), EXECUTOR_PRIOR_STRENGTH
        )

    def add(self, executor: ExecutorState, good: float, bad: float, now: float) -> None:
        """Add a result on an executor; its groups are judged anew at the next refresh."""
        name = executor.executor
        evidence = self._evidence.setdefault(name, Evidence(updated_at=now))
        evidence.add(good, bad, now)
        if bad:
            self._probed_at[name] = now
        self._judge(executor, now)

    def started(self, executor: ExecutorState, now: float) -> tuple[ExecutorState, ...]:
        """Record a start, which is a probe if the executor is avoided.

        Returns the executors that are judged anew for it.
        """
        if not self.standing(executor.executor).avoided:
            return ()
        avoided = self._shares.avoided_groups()
        groups = [group for group in self._groups_of(executor) if group in avoided]
        self._probed_at[executor.executor] = now
        self._probes.update(groups)
        self._judge(executor, now)
        exhausted = {group for group in groups if not self._has_probes_left(group)}
        members = [
            member
            for name in (self.avoided_executors() if exhausted else ())
            if (member := self._executors.get(name)) is not None
            and not exhausted.isdisjoint(self._groups_of(member))
        ]
        for member in members:
            self._judge(member, now)
        return executor, *members

    def forget(self, executor: ExecutorId) -> None:
        """Forget the results of an executor; its groups are judged anew at the next refresh."""
        for known in (self._evidence, self._standings, self._probed_at):
            known.pop(executor, None)

    def refresh(self, now: float) -> None:
        """Forget with age, and judge all groups and executors anew."""
        for name, evidence in tuple(self._evidence.items()):
            evidence.decay(now)
            if evidence.weight < NEGLIGIBLE_WEIGHT or name not in self._executors:
                del self._evidence[name]
        if not any(evidence.bad for evidence in self._evidence.values()):
            self._shares = _Shares()
            self._standings.clear()
            self._probed_at.clear()
            return
        self._shares = self._estimate_shares()
        self._probes.clear()
        self._members = Counter(
            group for executor in self._executors.values() for group in self._groups_of(executor)
        )
        self._probed_at = {
            name: at for name, at in self._probed_at.items() if now - at < PROBE_SECONDS
        }
        for known in (self._standings, self._groups):
            for name in known.keys() - self._executors.keys():
                del known[name]
        for executor in self._executors.values():
            self._judge(executor, now)

    def to_stored(self) -> tuple[StoredEvidence, ...]:
        """Return the results of the executors with the most failures."""
        failing = sorted(
            ((evidence, name) for name, evidence in self._evidence.items() if evidence.bad),
            key=lambda item: (-item[0].bad, item[1]),
        )
        return tuple(
            StoredEvidence(name, round(evidence.good, 3), round(evidence.bad, 3))
            for evidence, name in failing[:MAX_STORED]
        )

    def adopt(self, stored: Iterable[StoredEvidence], taken_at: float) -> None:
        """Use the results that an earlier owner had counted at ``taken_at`` on this clock."""
        for row in stored:
            self._evidence[row.executor] = Evidence(row.good, row.bad, taken_at)

    def _estimate_shares(self) -> _Shares:
        fleet = _Sums()
        groups: defaultdict[Group, _Sums] = defaultdict(_Sums)
        for name, evidence in self._evidence.items():
            members = self._groups_of(self._executors[name])
            for sums in (fleet, *(groups[group] for group in members)):
                sums.bad += evidence.bad
                sums.weight += evidence.weight
        shares = _Shares(fleet.share(USUAL_FAILURE_SHARE, FLEET_PRIOR_STRENGTH))
        for name in self._evidence:
            domain, rack, version = self._groups_of(self._executors[name])
            for group in (domain, version):
                shares.groups[group] = groups[group].share(shares.fleet, GROUP_PRIOR_STRENGTH)
            prior = shares.groups[domain]
            shares.groups[rack] = groups[rack].share(prior, GROUP_PRIOR_STRENGTH)
        return shares

    def _groups_of(self, executor: ExecutorState) -> _Groups:
        known = self._groups.get(executor.executor)
        if known is None or known[0] is not executor.registration:
            known = executor.registration, _groups(executor.registration)
            self._groups[executor.executor] = known
        return known[1]

    def _judge(self, executor: ExecutorState, now: float) -> None:
        share = self.share(executor)
        avoided = self._is_to_be_avoided(executor, share)
        standing = Standing(
            max(0.0, share - self._shares.fleet),
            avoided,
            avoided and not self._may_probe(executor, now),
        )
        if standing == SOUND:
            self._standings.pop(executor.executor, None)
        else:
            self._standings[executor.executor] = standing

    def _is_to_be_avoided(self, executor: ExecutorState, share: float) -> bool:
        limit = self._shares.limit
        evidence = self._evidence.get(executor.executor)
        if self.standing(executor.executor).avoided:
            was_probed_well = evidence is not None and evidence.ended_well
            return share >= (limit if was_probed_well else self._shares.release_limit)
        if evidence is not None and evidence.bad > MIN_FAILURES:
            return share >= limit
        groups = self._groups_of(executor)
        return share >= limit and any(self._shares.is_avoided(group) for group in groups)

    def _may_probe(self, executor: ExecutorState, now: float) -> bool:
        never = float("-inf")
        if now - self._probed_at.get(executor.executor, never) < PROBE_SECONDS:
            return False
        return all(self._has_probes_left(group) for group in self._groups_of(executor))

    def _has_probes_left(self, group: Group) -> bool:
        allowed = max(1, self._members[group] // EXECUTORS_PER_PROBE)
        return self._probes[group] < allowed


def _groups(registration: ExecutorRegistration) -> _Groups:
    """Return the failure domain, the rack and the version of an executor."""
    domain = str(registration.failure_domain)
    return (
        Group("domain", domain),
        Group("rack", f"{domain}/{registration.rack}"),
        Group("version", registration.version),
    )
