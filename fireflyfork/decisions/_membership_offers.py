"""How members pass a newer record of the fleet on to each other."""

from __future__ import annotations

from .._ids import MemberId, Revision
from ._membership_events import Commands, OfferRecord
from ._membership_state import MembershipState


def offer_if_behind(state: MembershipState, peer: MemberId, revision: Revision) -> Commands:
    """Pass the record on to a peer that showed an older one."""
    if revision >= state.revision:
        return ()
    return (OfferRecord((peer,), state.record, state.revision),)


def offer_to_region(state: MembershipState) -> Commands:
    """Whoever changed the record tells its region at once; other regions' watches tell theirs."""
    region = state.me.zone.region
    peers = tuple(
        name
        for name, member in state.record.members.items()
        if member.zone.region == region and name != state.me.member_id
    )
    if not peers:
        return ()
    return (OfferRecord(peers, state.record, state.revision),)
