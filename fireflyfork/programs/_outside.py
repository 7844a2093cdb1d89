"""What an instance reaches outside itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..adapters import (
    Advisor,
    CoordinationStore,
    ExecutorCalls,
    LoopProfile,
    LoopTime,
    MachineCalls,
    RelayTraffic,
    ReplicaPeers,
)


@dataclass(frozen=True, slots=True)
class Outside:
    """The platform's services, each behind its abstract client."""

    store: CoordinationStore
    executors: ExecutorCalls
    advisor: Advisor
    machines: MachineCalls
    loop_time: LoopTime
    """By which others are judged to be late."""
    relay_calls: Callable[[], ExecutorCalls]
    """Makes a client of executors for the calls of one owner on another instance."""
    loop_profile: LoopProfile = field(default_factory=LoopProfile)
    """Tells what the processor time goes to."""
    relay_traffic: RelayTraffic = field(default_factory=RelayTraffic)
    """Tells what owners on this instance exchange with relays."""
    replica_peers: ReplicaPeers | None = None
    """The replicas of other instances; None: the store is followed by every instance itself."""
