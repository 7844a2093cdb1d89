"""An in-memory store with failure switches, and a network of direct calls between memberships."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import trio

from ..._errors import PeerError, StoreConflictError, StoreUnavailableError
from ..._ids import FailureDomainName, MemberId, PartitionId, RegionName, Revision, TargetId
from ..._links import Address
from ..._zones import Zone
from ...adapters import Store, StoredValue
from ...decisions import ConfigurationOffer, Member, OccupiedSlots
from .._guard_channel import FleetOffer, GuardChannel, GuardQuestion, GuardReply
from .._membership import FleetView, Membership, MembershipSettings


class MemoryStore(Store):
    """An in-memory store that all members of a test share."""

    def __init__(self) -> None:
        """Start as an empty store without failures."""
        self.calls: Counter[str] = Counter()
        self.down = False
        self.answers_to_lose = 0
        """The number of next writes that take effect although their answers are lost."""
        self._values: dict[str, StoredValue] = {}
        self._revisions = count(1)
        self._change = trio.Event()

    async def read(self, key: str) -> StoredValue | None:
        """See ``Store``."""
        await self._begin("read")
        return self._values.get(key)

    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        """See ``Store``."""
        await self._begin("write")
        present = self._values.get(key)
        if (present.revision if present is not None else 0) != expected:
            raise StoreConflictError(key)
        revision = Revision(next(self._revisions))
        self._values[key] = StoredValue(value, revision)
        self._change.set()
        self._change = trio.Event()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailableError("the answer was lost")
        return revision

    async def delete(self, key: str, expected: Revision) -> None:
        """See ``Store``."""
        raise NotImplementedError

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """See ``Store``."""
        raise NotImplementedError

    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        """See ``Store``."""
        await self._begin("watch")
        with trio.move_on_after(seconds):
            while (stored := self._values.get(key)) is None or stored.revision <= after:
                await self._change.wait()
            return stored
        return None

    async def _begin(self, kind: str) -> None:
        self.calls[kind] += 1
        await trio.sleep(0.005)
        if self.down:
            raise StoreUnavailableError("the store is down")


@dataclass
class Network:
    """The reachable members by address, the cut-off addresses, and counts of messages."""

    members: dict[Address, Membership] = field(default_factory=dict)
    cut: set[Address] = field(default_factory=set)
    messages: Counter[str] = field(default_factory=Counter)
    configurations: list[tuple[Address, ConfigurationOffer]] = field(default_factory=list)

    def reach(self, sender: Address, receiver: Address) -> Membership:
        """Return the membership at an address.

        Raises PeerError if there is none or if exactly one of the two addresses is cut off.
        """
        peer = self.members.get(receiver)
        if peer is None or (sender in self.cut) != (receiver in self.cut):
            raise PeerError("unreachable")
        return peer


class DirectChannel(GuardChannel):
    """Calls the peer's membership directly, after a delay of 1 ms."""

    def __init__(self, network: Network, sender: Address) -> None:
        """Send for the member at the address ``sender``."""
        self._network = network
        self._sender = sender

    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """See ``GuardChannel``."""
        receiver = await self._reach("ask", peer)
        return receiver.answer_question(question)

    async def offer_fleet(self, peer: Member, offer: FleetOffer) -> None:
        """See ``GuardChannel``."""
        receiver = await self._reach("offer", peer)
        receiver.handle_fleet_offer(offer)

    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """See ``GuardChannel``."""
        await self._reach("configuration", peer)
        self._network.configurations.append((peer.address, offer))

    async def _reach(self, kind: str, peer: Member) -> Membership:
        self._network.messages[kind] += 1
        await trio.sleep(0.001)
        return self._network.reach(self._sender, peer.address)


@dataclass
class Fleet:
    """Memberships that run in one nursery against one store."""

    nursery: trio.Nursery
    settings: MembershipSettings = field(default_factory=MembershipSettings)
    store: MemoryStore = field(default_factory=MemoryStore)
    network: Network = field(default_factory=Network)
    views: dict[str, list[FleetView]] = field(default_factory=dict)
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)

    def start(self, name: str, place: str, port: int) -> Membership:
        """Start a membership in the zone ``place``; later member ids are ``name-2`` and so on."""
        region, _, domain = place.partition("/")
        zone = Zone(RegionName(region), FailureDomainName(domain))
        address = Address("127.0.0.1", port)
        numbers = count(2)
        views: list[FleetView] = []
        membership = Membership(
            Member(MemberId(name), address, zone),
            self.store,
            DirectChannel(self.network, address),
            new_member_id=lambda: MemberId(f"{name}-{next(numbers)}"),
            occupied=_one_busy_slot_each,
            changed=views.append,
            settings=self.settings,
            clock=trio.current_time,
        )
        self.views[name] = views
        self.network.members[address] = membership
        scope = self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, membership, scope)
        return membership

    def kill(self, name: str, port: int) -> None:
        """Cancel a membership without a hand-over, like a killed process."""
        self.scopes[name].cancel()
        del self.network.members[Address("127.0.0.1", port)]

    @staticmethod
    async def _run(membership: Membership, scope: trio.CancelScope) -> None:
        with scope:
            await membership.run()


def _one_busy_slot_each(
    partitions: tuple[PartitionId, ...],
) -> dict[PartitionId, tuple[OccupiedSlots, ...]]:
    busy = OccupiedSlots(TargetId("executor"), 1, 2.0)
    return dict.fromkeys(partitions, (busy,))
