"""The membership protocol on peer streams."""

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

ASK_SECONDS = 0.5
"""A question that takes longer proves too little to be worth waiting for."""

QUESTION = "guard-question"
REPLY = "guard-reply"
FLEET = "fleet"
CONFIGURATION = "configuration"


class PeerGuardChannel(GuardChannel, ControlHandler):
    """Sends the protocol's messages, and takes the replies to questions."""

    def __init__(self, peers: Peers) -> None:
        """Call ``attach`` before use, and subscribe it to ``REPLY``."""
        self._peers = peers
        self._keeper: ConfigurationKeeper | None = None
        self._waiting: dict[tuple[MemberId, int], trio.Event] = {}
        self._replies: dict[tuple[MemberId, int], GuardReply] = {}

    def attach(self, keeper: ConfigurationKeeper) -> None:
        """Compare the configuration versions of guards with that of ``keeper``."""
        self._keeper = keeper

    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """See GuardChannel."""
        key = (peer.member_id, question.nonce)
        arrived = self._waiting[key] = trio.Event()
        try:
            with trio.fail_after(ASK_SECONDS):
                await self._send(peer, QUESTION, question)
                await arrived.wait()
            return self._replies.pop(key)
        except trio.TooSlowError as error:
            raise PeerError(f"{peer.member_id} did not reply in time") from error
        finally:
            del self._waiting[key]

    async def offer_fleet(self, peer: Member, offer: FleetOffer) -> None:
        """See GuardChannel."""
        await self._send(peer, FLEET, offer)

    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """See GuardChannel."""
        await self._send(peer, CONFIGURATION, offer)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a reply; one that nobody waits for any more is dropped."""
        reply = decode_content(content, GuardReply)
        key = (member, reply.nonce)
        if key in self._waiting:
            if self._keeper is not None:
                self._keeper.peer_holds(member, reply.configuration_version)
            self._replies[key] = reply
            self._waiting[key].set()
        return None

    async def _send(self, peer: Member, topic: str, content: object) -> None:
        stream = await self._peers.stream(peer.member_id)
        stream.send(Control(topic, encode_content(content)))


def membership_handlers(
    channel: PeerGuardChannel, membership: Membership, keeper: ConfigurationKeeper
) -> dict[str, ControlHandler]:
    """What to subscribe, by topic, so that a process takes part in the protocol."""

    def asked(member: MemberId, question: GuardQuestion) -> GuardReply | None:
        if question.asker != member:
            logger.warning("question in another member's name", member=member)
            return None
        keeper.peer_holds(member, question.configuration_version)
        return membership.asked(question)

    def offered_fleet(member: MemberId, offer: FleetOffer) -> None:
        try:
            membership.offered(offer)
        except FireflyforkError as error:
            logger.warning("bad fleet record", member=member, error=str(error))

    return {
        REPLY: channel,
        QUESTION: TypedHandler(GuardQuestion, asked, REPLY),
        FLEET: TypedHandler(FleetOffer, offered_fleet),
        CONFIGURATION: TypedHandler(ConfigurationOffer, keeper.offered),
    }
