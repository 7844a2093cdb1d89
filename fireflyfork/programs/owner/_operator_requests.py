"""What operators have requested, as far as an instance knows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..._ids import FailureDomainName, ServiceName
from ...decisions.jobs import QueueTable, UpkeepWave


def _no_waves() -> tuple[UpkeepWave, ...]:
    return ()


def _no_domains() -> frozenset[FailureDomainName]:
    return frozenset()


def _ignore_service(_service: ServiceName) -> None:
    pass


@dataclass(frozen=True, slots=True)
class OperatorRequests:
    """Functions that return the requests in force at the time of the call."""

    queues: Callable[[], QueueTable]
    waves: Callable[[], tuple[UpkeepWave, ...]] = _no_waves
    evacuated_domains: Callable[[], frozenset[FailureDomainName]] = _no_domains
    require_owner: Callable[[ServiceName], None] = _ignore_service
    """Has an owner of a service elected, also of one that no configuration in force names."""
