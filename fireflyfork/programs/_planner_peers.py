"""What planners say to each other: membership, configuration, and where operators reach them."""

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

ENDPOINT = "planner-endpoint"
_ANNOUNCE_SECONDS = 1.0
_REPEAT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """Where operators reach the sender: IP number and port."""

    address: str


class PlannerPeerService(PeerHandler):
    """What this planner does for its peers: it takes control messages and nothing else."""

    def __init__(self) -> None:
        """Without any topic."""
        self._topics: dict[str, ControlHandler] = {}

    def subscribe(self, topic: str, handler: ControlHandler) -> None:
        """Send messages of ``topic`` to ``handler``."""
        self._topics[topic] = handler

    async def handle_call(self, call: IncomingCall) -> None:
        """See PeerHandler; planners serve no requests."""
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
    """Where operators reach each planner. The fleet record only says where peers do."""

    def __init__(self, own: Address) -> None:
        """``own`` is this planner's endpoint."""
        self._own = own
        self._addresses: dict[MemberId, Address] = {}

    def address_of(self, member: MemberId) -> Address | None:
        """The endpoint of a planner that announced it."""
        return self._addresses.get(member)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a peer's announcement. Raises PeerError."""
        notice = decode_content(content, EndpointNotice)
        try:
            self._addresses[member] = Address.parse(notice.address)
        except SettingsError as error:
            raise PeerError(str(error)) from error
        return None

    async def announce(self, peers: Peers, view: OwnershipView) -> None:
        """Tell every peer where this planner's endpoint is, for ever."""
        content = encode_content(EndpointNotice(str(self._own)))
        told: dict[MemberId, float] = {}
        while True:
            members = view.other_members()
            peers.keep_open(members)
            for member in members:
                if trio.current_time() - told.get(member, -_REPEAT_SECONDS) >= _REPEAT_SECONDS:
                    try:
                        (await peers.stream(member)).send(Control(ENDPOINT, content))
                    except PeerError:
                        continue
                    told[member] = trio.current_time()
            self._keep_only(members)
            await trio.sleep(_ANNOUNCE_SECONDS)

    def _keep_only(self, members: tuple[MemberId, ...]) -> None:
        self._addresses = {
            member: address for member, address in self._addresses.items() if member in members
        }
