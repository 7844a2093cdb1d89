"""The clients of everything outside of an instance."""

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
from ._advisor_turns import AdvisorTurns


@dataclass(frozen=True, slots=True)
class ExternalClients:
    """The clients of the platform's services, each behind its abstract class."""

    store: CoordinationStore
    executors: ExecutorCalls
    advisor: Advisor
    machines: MachineCalls
    loop_time: LoopTime
    """Clock for the timeouts of calls, which excludes delays of this process's own event loop."""
    relay_calls: Callable[[], ExecutorCalls]
    """Creates a client of executors for the calls of one owner on another instance."""
    loop_profile: LoopProfile = field(default_factory=LoopProfile)
    """Measures which activities use the processor time."""
    advisor_turns: AdvisorTurns = field(default_factory=AdvisorTurns)
    """Limits the calls to the advisor of all owners on the instance."""
    relay_traffic: RelayTraffic = field(default_factory=RelayTraffic)
    """Counts the bytes that owners on this instance exchange with relays."""
    replica_peers: ReplicaPeers | None = None
    """Client of the replicas of other instances; None if every instance follows the store itself.
    """
