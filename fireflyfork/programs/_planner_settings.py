"""The settings of a planner."""

from __future__ import annotations

from dataclasses import dataclass, field

from .._contracts import TeamContract, Weights
from .._errors import SettingsError
from .._ids import FailureDomainName, PartitionId, RegionName
from .._links import Address
from ..decisions import PlanningRules
from ._planner_partition import PlannerPace


@dataclass(frozen=True, slots=True)
class PartitionSettings:
    """A share of the workers, and the planner that owns it."""

    partition: PartitionId
    regions: tuple[RegionName, ...]
    """The regions whose workers belong to it."""
    owner: str
    """IP number and port of the owner's endpoint."""


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """The settings file, in JSON with comments."""

    name: str
    region: RegionName
    failure_domain: FailureDomainName
    listen: str
    """IP number and port of the endpoint for operators."""
    store: str
    platform: str
    partitions: tuple[PartitionSettings, ...]
    teams: tuple[TeamContract, ...] = ()
    weights: Weights = field(default_factory=Weights)
    rules: PlanningRules = field(default_factory=PlanningRules)
    pace: PlannerPace = field(default_factory=PlannerPace)
    log_level: str = "INFO"

    def check(self, source: str) -> None:
        """Check what the types can't say. Raises SettingsError with path, value and rule."""
        for path, text in self._addresses():
            try:
                Address.parse(text)
            except SettingsError as error:
                raise SettingsError(f"{source}: {path}: value {text!r}: {error}") from error
        names = [partition.partition for partition in self.partitions]
        if not names or len(set(names)) < len(names):
            raise SettingsError(
                f"{source}: $.partitions: value {names!r}: expected one or more, each once"
            )
        for path, seconds in self._durations():
            if not seconds > 0:
                raise SettingsError(f"{source}: {path}: value {seconds!r}: expected above 0")
        leases = self.rules.leases
        if self.pace.renew * 3 > leases.lease:
            raise SettingsError(
                f"{source}: $.pace.renew: value {self.pace.renew!r}: expected at most a third "
                f"of $.rules.leases.lease, {leases.lease!r}"
            )

    def _addresses(self) -> list[tuple[str, str]]:
        owners = [
            (f"$.partitions[{index}].owner", partition.owner)
            for index, partition in enumerate(self.partitions)
        ]
        return [
            ("$.listen", self.listen),
            ("$.store", self.store),
            ("$.platform", self.platform),
            *owners,
        ]

    def _durations(self) -> list[tuple[str, float]]:
        pace = self.pace
        leases = self.rules.leases
        return [
            ("$.pace.commit", pace.commit),
            ("$.pace.tick", pace.tick),
            ("$.pace.renew", pace.renew),
            ("$.pace.stop_retry", pace.stop_retry),
            ("$.pace.report_wait", pace.report_wait),
            ("$.pace.workers", pace.workers),
            ("$.rules.leases.lease", leases.lease),
            ("$.rules.leases.silence", leases.silence),
            ("$.rules.leases.margin", leases.margin),
            ("$.rules.start_retry_seconds", self.rules.start_retry_seconds),
        ]
