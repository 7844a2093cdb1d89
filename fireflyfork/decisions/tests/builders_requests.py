"""Test data for the decisions on the request path."""

from ... import ServiceContract, TargetContract
from ..._ids import FailureDomainName, MemberId, RegionName, ServiceName, TargetId, TeamName
from .. import MemberFigures, OwnTarget, RouteQuestion, SlotTerms

VITI = RegionName("viti")
VANUA = RegionName("vanua")
LONGEST_RUN = 4.0


def service(name: str = "booking", longest_run: float = LONGEST_RUN) -> ServiceContract:
    """A service whose requests end within ``longest_run`` seconds."""
    return ServiceContract(ServiceName(name), TeamName("desk"), longest_run)


def target(slots: int = 2, connections: int = 8) -> TargetContract:
    """An executor in viti."""
    return TargetContract(
        TargetId("t1"),
        ServiceName("booking"),
        "127.0.0.1:9000",
        VITI,
        FailureDomainName("suva"),
        slots,
        connections,
    )


def slot_terms(slots: int = 2, connections: int = 8) -> SlotTerms:
    """The terms of such an executor."""
    return SlotTerms.from_contracts(target(slots, connections), service())


def figures(
    name: str,
    free: int = 1,
    queued: int = 0,
    measured_at: float = 0.0,
    region: RegionName = VITI,
    sent_since: int = 0,
) -> MemberFigures:
    """What a peer said; its targets end ten requests a second."""
    return MemberFigures(
        MemberId(name), region, free, queued, 10.0, measured_at, sent_since=sent_since
    )


def question(
    own: dict[str, int] | None = None,
    peers: tuple[MemberFigures, ...] = (),
    queued: int = 0,
    time_left: float = 1.0,
    forwarded: bool = False,
    draw: tuple[float, float] = (0.0, 0.0),
) -> RouteQuestion:
    """A request of a thousand bytes in viti; ``own`` gives the free slots by target."""
    targets = [OwnTarget(TargetId(name), free) for name, free in (own or {}).items()]
    drain = 10.0 * len(targets)
    return RouteQuestion(
        VITI, targets, queued, drain, peers, time_left, 1000, forwarded=forwarded, draw=draw
    )
