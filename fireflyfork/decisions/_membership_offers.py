"""Forwards newer fleet records to other members."""

from __future__ import annotations

from .._ids import MemberId, Revision
from ._membership_events import Commands, OfferRecord
from ._membership_state import MembershipState


def offer_if_behind(state: MembershipState, peer: MemberId, revision: Revision) -> Commands:
    """Send the record to a peer that reported an older revision."""
    if revision >= state.revision:
        return ()
    return (OfferRecord((peer,), state.record, state.revision),)


def offer_to_region(state: MembershipState) -> Commands:
    """Send a changed record to all members of this region; other regions rely on their watches."""
    region = state.me.zone.region
    peers = tuple(
        name
        for name, member in state.record.members.items()
        if member.zone.region == region and name != state.me.member_id
    )
    if not peers:
        return ()
    return (OfferRecord(peers, state.record, state.revision),)
