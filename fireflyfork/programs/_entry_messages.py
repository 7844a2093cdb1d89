"""What an entry answers to callers and operators, as JSON."""

from __future__ import annotations

from dataclasses import dataclass, field

from .._ids import ConfigurationVersion, MemberId, RegionName, ServiceName, TargetId
from .._verdict import Verdict


@dataclass(frozen=True, slots=True)
class RefusedAnswer:
    """The body of an answer that no executor gave."""

    error: str
    """Why, in a sentence."""
    verdict: Verdict
    """Whether the request may have run."""
    retry_after_seconds: float | None
    """When to come back; None when that would change nothing."""


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """One service at one entry."""

    own_targets: tuple[TargetId, ...] = ()
    """The targets that this entry owns."""
    free_slots: int = 0
    queued: int = 0
    """Requests that wait for a slot."""


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """The answer of ``/status``."""

    member: MemberId
    configuration_version: ConfigurationVersion
    """Of the configuration in force; 0 for none."""
    region: RegionName | None = None
    draining: bool = False
    in_flight: int = 0
    """Connections of callers and forwarded requests."""
    other_members: tuple[MemberId, ...] = ()
    services: dict[ServiceName, ServiceStatus] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Readiness:
    """The answer of ``/readyz``."""

    ready: bool
    reason: str
    """Why callers should go elsewhere; empty when ready."""


@dataclass(frozen=True, slots=True)
class OperatorError:
    """The body of an answer to a call that can't be served."""

    error: str
