"""Settings of the policies that decide under load. Each policy is off unless it is enabled."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PreemptionSettings:
    """Whether urgent tasks may stop less urgent runs, and how many."""

    enabled: bool = False
    max_stopped_share: float = 0.05
    """Largest share of the running tasks that may be stopped for urgent ones within 10 s. Two more
    may be stopped, however few tasks run."""
    adaptive_reserve: bool = False
    """Whether the room kept for short tasks follows their demand instead of a fixed share."""


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Whether jobs that can't be of use are refused when they arrive."""

    enabled: bool = False
    max_figures_age_seconds: float = 2.0
    """Age from which the owner's figures are too old to refuse a job by."""
    margin: float = 0.5
    """Share of its objective by which a job's expected end must exceed it for the job to count as
    late, and to be compared with all that arrives and is placed before late jobs."""
    retry_after_outages: bool = False
    """Whether Retry-After follows the outages of the store that an instance has seen, and a write
    without an answer is given up at once when the store has stopped answering."""


@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """Shares of queues under contention, and reservations for jobs that wait long."""

    enabled: bool = False
    weights: dict[str, float] = field(default_factory=dict)
    """Weight by name of queue; 1 for queues without one."""
    reservation_after_chains: float = 2.0
    """A job that has waited for this multiple of its longest chain gets a reservation."""


@dataclass(frozen=True, slots=True)
class EstimateSettings:
    """What is learned of executors and steps."""

    speeds: bool = False
    """Whether the speed of executors is learned and used for placing and for stragglers."""
    group_failures: bool = False
    """Whether failures are estimated by executor, rack and failure domain together."""
    hopeless_steps: bool = False
    """Whether steps whose tasks fail everywhere are tried by few tasks at a time."""
    delay_scheduling: bool = False
    """Whether tasks wait for executors near their data."""


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """How the work of owners is spread and handed over."""

    shards: bool = False
    """Whether a service may have an owner for each set of failure domains. Not implemented yet: the
    setting changes nothing."""
    hand_over_without_store: bool = False
    """Whether an owner that can't reach the store hands over before its lease ends."""


@dataclass(frozen=True, slots=True)
class ArrangementSettings:
    """Which serving tasks may share an executor."""

    image_groups: bool = False
    """Whether images that are disturbed by the same work are packed as one image."""


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """The settings of all policies."""

    preemption: PreemptionSettings = PreemptionSettings()
    admission: AdmissionSettings = AdmissionSettings()
    fairness: FairnessSettings = FairnessSettings()
    estimates: EstimateSettings = EstimateSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    arrangement: ArrangementSettings = ArrangementSettings()


NO_POLICIES = PolicySettings()
"""Settings with every policy off."""
