"""Carries the membership protocol over peer streams."""

from __future__ import annotations

import trio
from loguru import logger

from .._errors import FireflyforkError, PeerError
from .._ids import MemberId
from ..adapters import Control, Peers, decode_content, encode_content
from ..decisions import ConfigurationOffer, Member
from ._configuration_keeper import ConfigurationKeeper
from ._control_handler import ControlHandler, TypedHandler
from ._guard_channel import FleetOffer, GuardChannel, GuardQuestion, GuardReply
from ._membership import Membership

REPLY_TIMEOUT_SECONDS = 0.5
"""How long a member waits for the reply to a question.

The right is counted from when the question was sent, so a later reply would extend it too little.
"""

QUESTION = "guard-question"
REPLY = "guard-reply"
FLEET = "fleet"
CONFIGURATION = "configuration"


class PeerGuardChannel(GuardChannel, ControlHandler):
    """Sends the protocol's messages and matches replies with questions."""

    def __init__(self, peers: Peers) -> None:
        """Call ``attach`` before use, and subscribe the channel to the topic ``REPLY``."""
        self._peers = peers
        self._keeper: ConfigurationKeeper | None = None
        self._reply_events: dict[tuple[MemberId, int], trio.Event] = {}
        self._replies: dict[tuple[MemberId, int], GuardReply] = {}

    def attach(self, keeper: ConfigurationKeeper) -> None:
        """Pass the configuration versions in guards' replies to ``keeper``."""
        self._keeper = keeper

    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """See GuardChannel."""
        key = (peer.member_id, question.nonce)
        arrived = self._reply_events[key] = trio.Event()
        try:
            with trio.fail_after(REPLY_TIMEOUT_SECONDS):
                await self._send(peer, QUESTION, question)
                await arrived.wait()
            return self._replies.pop(key)
        except trio.TooSlowError as error:
            raise PeerError(f"{peer.member_id} did not reply in time") from error
        finally:
            del self._reply_events[key]

    async def offer_fleet(self, peer: Member, offer: FleetOffer) -> None:
        """See GuardChannel."""
        await self._send(peer, FLEET, offer)

    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """See GuardChannel."""
        await self._send(peer, CONFIGURATION, offer)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Handle a reply. A reply whose question has timed out is dropped."""
        reply = decode_content(content, GuardReply)
        key = (member, reply.nonce)
        if key in self._reply_events:
            if self._keeper is not None:
                self._keeper.handle_peer_version(member, reply.configuration_version)
            self._replies[key] = reply
            self._reply_events[key].set()
        return None

    async def _send(self, peer: Member, topic: str, content: object) -> None:
        stream = await self._peers.stream(peer.member_id)
        stream.send(Control(topic, encode_content(content)))


def membership_handlers(
    channel: PeerGuardChannel, membership: Membership, keeper: ConfigurationKeeper
) -> dict[str, ControlHandler]:
    """Return the handlers, by topic, that a process subscribes to take part in the protocol."""

    def asked(member: MemberId, question: GuardQuestion) -> GuardReply | None:
        if question.asker != member:
            logger.warning("guard question with a wrong sender", member=member)
            return None
        keeper.handle_peer_version(member, question.configuration_version)
        return membership.answer_question(question)

    def offered_fleet(member: MemberId, offer: FleetOffer) -> None:
        try:
            membership.handle_fleet_offer(offer)
        except FireflyforkError as error:
            logger.warning(
                "fleet record from peer could not be decoded", member=member, error=str(error)
            )

    return {
        REPLY: channel,
        QUESTION: TypedHandler(GuardQuestion, asked, REPLY),
        FLEET: TypedHandler(FleetOffer, offered_fleet),
        CONFIGURATION: TypedHandler(ConfigurationOffer, keeper.handle_offer),
    }
