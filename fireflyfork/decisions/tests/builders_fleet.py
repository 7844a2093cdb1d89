"""Builders of members and fleet records for tests."""

from collections.abc import Iterable

from ..._ids import ChangeId, FailureDomainName, MemberId, RegionName
from ..._links import Address
from ..._zones import Zone
from .._fleet import FleetRecord, Member
from .._fleet_changes import join, move, planned_moves

VITI = RegionName("viti")
VANUA = RegionName("vanua")


def zone(text: str) -> Zone:
    """Return the zone written as ``region/failure-domain``."""
    region, _, domain = text.partition("/")
    return Zone(RegionName(region), FailureDomainName(domain))


def member(name: str, place: str = "viti/suva", port: int | None = None) -> Member:
    """Return a member whose port is derived from its name unless given."""
    number = port if port is not None else 1000 + sum(map(ord, name))
    return Member(MemberId(name), Address("127.0.0.1", number), zone(place))


def fleet(members: Iterable[Member], partitions: int = 6) -> FleetRecord:
    """Return the record after ``members`` have joined in order, without planned moves."""
    record = FleetRecord(partitions_per_region=partitions)
    for number, newcomer in enumerate(members):
        joined = join(record, newcomer, ChangeId(f"join-{number}"))
        assert joined is not None
        record = joined
    return record


FOUR_MEMBERS = (
    member("a", "viti/suva"),
    member("b", "viti/nadi"),
    member("c", "vanua/labasa"),
    member("d", "vanua/labasa"),
)


def balanced(record: FleetRecord) -> FleetRecord:
    """Return the record after every owner has made its planned moves, three times over."""
    for _ in range(3):
        for name in sorted(record.members):
            receivers = planned_moves(record, name)
            record = move(record, name, receivers, {}, ChangeId("evened-out")) or record
    return record
