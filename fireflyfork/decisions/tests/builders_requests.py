"""Builders of test data for the decisions on the request path."""

from uuid import UUID

from ... import ServiceContract, TargetContract
from ..._ids import (
    FailureDomainName,
    IdempotencyKey,
    MemberId,
    RegionName,
    RequestId,
    ServiceName,
    TargetId,
    TeamName,
)
from .. import (
    AdmissionQueue,
    MemberLoad,
    OwnTarget,
    RouteInput,
    ServiceTime,
    SlotLimits,
    WaitingRequest,
)

VITI = RegionName("viti")
VANUA = RegionName("vanua")
LONGEST_RUN = 4.0


def service(name: str = "booking", longest_run: float = LONGEST_RUN) -> ServiceContract:
    """Return a service whose requests end within ``longest_run`` seconds."""
    return ServiceContract(ServiceName(name), TeamName("desk"), longest_run)


def target(slots: int = 2, connections: int = 8) -> TargetContract:
    """Return the contract of a target in viti."""
    return TargetContract(
        TargetId("t1"),
        ServiceName("booking"),
        "127.0.0.1:9000",
        VITI,
        FailureDomainName("suva"),
        slots,
        connections,
    )


def slot_limits(slots: int = 2, connections: int = 8) -> SlotLimits:
    """Return the limits of a target with this number of slots and connections."""
    return SlotLimits.from_contracts(target(slots, connections), service())


def member_load(
    name: str,
    free: int = 1,
    queued: int = 0,
    measured_at: float = 0.0,
    region: RegionName = VITI,
    sent_since: int = 0,
) -> MemberLoad:
    """Return the load of a peer whose targets complete ten requests per second."""
    return MemberLoad(
        MemberId(name), region, free, queued, 10.0, measured_at, sent_since=sent_since
    )


def route_input(
    own: dict[str, int] | None = None,
    peers: tuple[MemberLoad, ...] = (),
    queued: int = 0,
    time_left: float = 1.0,
    forwarded: bool = False,
    draw: tuple[float, float] = (0.0, 0.0),
) -> RouteInput:
    """Return the routing input for a request of 1,000 bytes in viti.

    ``own`` maps own targets to their free slots.
    """
    targets = [OwnTarget(TargetId(name), free) for name, free in (own or {}).items()]
    drain = 10.0 * len(targets)
    return RouteInput(
        VITI, targets, queued, drain, peers, time_left, 1000, forwarded=forwarded, draw=draw
    )


def waiting(name: str, deadline: float = 1.0, entry: str = "e1") -> WaitingRequest:
    """Return a request that needs a slot."""
    return WaitingRequest(RequestId(name), MemberId(entry), deadline)


def queue(mean: float = 0.1, max_waiting: int = 10) -> AdmissionQueue:
    """Return an empty queue of a service whose requests all take ``mean`` seconds."""
    return AdmissionQueue(max_waiting, ServiceTime(mean, 0.0))


def timed_key(minted: float, serial: int = 0) -> IdempotencyKey:
    """Return a UUIDv7 created at the Unix time ``minted``."""
    milliseconds = int(minted * 1000)
    return IdempotencyKey(str(UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | serial)))
