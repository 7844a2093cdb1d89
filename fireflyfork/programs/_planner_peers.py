"""Messages between planners: membership, configuration and the operators' endpoints."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from .._errors import PeerError, RequestError, SettingsError
from .._ids import MemberId
from .._links import Address
from .._verdict import Verdict
from ..adapters import (
    Control,
    IncomingCall,
    PeerHandler,
    Peers,
    Pong,
    decode_content,
    encode_content,
)
from ._control_handler import ControlHandler
from ._ownership import OwnershipView

ENDPOINT_TOPIC = "planner-endpoint"
_ANNOUNCE_SECONDS = 1.0
_ANNOUNCE_INTERVAL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """The address of the sender's endpoint for operators."""

    address: str


class PlannerPeerService(PeerHandler):
    """Handles messages from other planners: control messages only, no requests."""

    def __init__(self) -> None:
        """Set up a handler that ignores every topic until ``subscribe`` is called."""
        self._topics: dict[str, ControlHandler] = {}

    def subscribe(self, topic: str, handler: ControlHandler) -> None:
        """Pass control messages of ``topic`` to ``handler``."""
        self._topics[topic] = handler

    async def handle_call(self, call: IncomingCall) -> None:
        """Refuse the call, because planners serve no requests."""
        call.refuse(RequestError(404, "a planner serves no requests", Verdict.NOT_RUN))

    def pong(self, member: MemberId, nonce: int) -> Pong:
        """See PeerHandler."""
        return Pong(nonce, {}, {})

    def handle_pong(self, member: MemberId, pong: Pong) -> None:
        """See PeerHandler."""

    def handle_control(self, member: MemberId, control: Control) -> Control | None:
        """See PeerHandler."""
        handler = self._topics.get(control.topic)
        return handler.handle(member, control.content) if handler is not None else None


class PlannerDirectory(ControlHandler):
    """The operators' endpoint of each planner. The fleet record holds only the peer addresses."""

    def __init__(self, own: Address) -> None:
        """``own`` is the address of this planner's endpoint."""
        self._own = own
        self._addresses: dict[MemberId, Address] = {}

    def address_of(self, member: MemberId) -> Address | None:
        """Return the endpoint that a planner announced, or None."""
        return self._addresses.get(member)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Store the endpoint that a peer announces. Raises PeerError if the address is malformed."""
        notice = decode_content(content, EndpointNotice)
        try:
            self._addresses[member] = Address.parse(notice.address)
        except SettingsError as error:
            raise PeerError(str(error)) from error
        return None

    async def announce(self, peers: Peers, view: OwnershipView) -> None:
        """Announce this planner's endpoint to every peer periodically. Runs until cancelled."""
        content = encode_content(EndpointNotice(str(self._own)))
        last_sent_at: dict[MemberId, float] = {}
        while True:
            members = view.other_members()
            peers.keep_open(members)
            for member in members:
                if (
                    trio.current_time() - last_sent_at.get(member, -_ANNOUNCE_INTERVAL_SECONDS)
                    >= _ANNOUNCE_INTERVAL_SECONDS
                ):
                    try:
                        (await peers.stream(member)).send(Control(ENDPOINT_TOPIC, content))
                    except PeerError:
                        continue
                    last_sent_at[member] = trio.current_time()
            self._forget_departed(members)
            await trio.sleep(_ANNOUNCE_SECONDS)

    def _forget_departed(self, members: tuple[MemberId, ...]) -> None:
        self._addresses = {
            member: address for member, address in self._addresses.items() if member in members
        }
