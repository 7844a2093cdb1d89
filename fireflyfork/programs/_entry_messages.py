"""JSON bodies of an entry's answers to callers and operators."""

from __future__ import annotations

from dataclasses import dataclass, field

from .._ids import ConfigurationVersion, MemberId, RegionName, ServiceName, TargetId
from .._verdict import Verdict


@dataclass(frozen=True, slots=True)
class CallerErrorBody:
    """The body of an answer that the entry gives itself because no executor answered."""

    error: str
    """The reason, in a sentence."""
    verdict: Verdict
    """Whether the request may have run."""
    retry_after_seconds: float | None
    """The wait before a repeat; None if a repeat would fail in the same way."""


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """The state of one service at one entry."""

    own_targets: tuple[TargetId, ...] = ()
    """The targets that this entry owns."""
    free_slots: int = 0
    queued: int = 0
    """The number of requests that wait for a slot."""


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """The answer of ``/status``."""

    member: MemberId
    configuration_version: ConfigurationVersion
    """The version of the configuration in force; 0 for none."""
    region: RegionName | None = None
    draining: bool = False
    in_flight: int = 0
    """The number of callers' connections plus the number of forwarded requests served here."""
    other_members: tuple[MemberId, ...] = ()
    services: dict[ServiceName, ServiceStatus] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Readiness:
    """The answer of ``/readyz``."""

    ready: bool
    reason: str
    """Why callers should use other entries; empty when ready."""


@dataclass(frozen=True, slots=True)
class OperatorErrorBody:
    """The body of an answer that refuses an operator's call."""

    error: str
