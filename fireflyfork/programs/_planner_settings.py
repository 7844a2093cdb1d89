"""The settings of a planner process."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .._errors import SettingsError
from .._ids import FailureDomainName, RegionName
from .._links import Address
from ..decisions import PlanningRules
from ._entry_settings import MIN_PEER_KEY_LENGTH
from ._partition_plan import PlannerPace

MAX_PARTITIONS = 64


class PolicyName(Enum):
    """The available placement policies."""

    INTERFERENCE_AWARE = "interference-aware"
    FIRST_FIT = "first-fit"
    """Places tasks by their declared size. Serves as a baseline for comparison."""


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """The settings of a planner, read from a JSON file with comments."""

    name: str
    """The instance's name. The member id appends a suffix that is unique to each process."""
    region: RegionName
    failure_domain: FailureDomainName
    operator_address: str
    """IP address and port of the endpoint for operators."""
    peer_address: str
    """IP address and port where other planners reach this planner."""
    store_address: str
    platform_address: str
    regions: tuple[RegionName, ...]
    """All regions whose workers the planners use. Must be the same for all planners."""
    peer_key: str
    """The secret that authenticates planners to each other; the same for all planners."""
    partitions: int = 1
    """The number of partitions of the workers. Only the first planner's value takes effect."""
    policy: PolicyName = PolicyName.INTERFERENCE_AWARE
    rules: PlanningRules = field(default_factory=PlanningRules)
    pace: PlannerPace = field(default_factory=PlannerPace)
    log_level: str = "INFO"

    def check(self) -> None:
        """Check the rules that the types don't express.

        Raises SettingsError, which names the path, the value and the rule.
        """
        for name in ("operator_address", "peer_address", "store_address", "platform_address"):
            _check_address(name, getattr(self, name))
        if len(self.peer_key) < MIN_PEER_KEY_LENGTH:
            raise SettingsError(f"$.peer_key: expected {MIN_PEER_KEY_LENGTH} characters or more")
        if not self.regions or len(set(self.regions)) < len(self.regions):
            raise SettingsError(f"$.regions: value {self.regions}: expected one or more, each once")
        if not 1 <= self.partitions <= MAX_PARTITIONS:
            raise SettingsError(
                f"$.partitions: value {self.partitions}: expected 1 to {MAX_PARTITIONS}"
            )
        for path, seconds in self._durations():
            if not seconds > 0:
                raise SettingsError(f"{path}: value {seconds}: expected above 0")
        self._check_renewals()

    def _check_renewals(self) -> None:
        lease = self.rules.leases.lease
        if self.pace.renew * 3 > lease:
            raise SettingsError(
                f"$.pace.renew: value {self.pace.renew}: expected at most a third of "
                f"$.rules.leases.lease, {lease}, so that one lost renewal ends no work"
            )

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


def _check_address(name: str, text: str) -> None:
    try:
        Address.parse(text)
    except SettingsError as error:
        raise SettingsError(f"$.{name}: {error}") from error
