"""Notifies the new owner of a target when requests of the previous owner have ended.

After a planned move the new owner treats the slots that the previous owner occupied as busy until
the longest run time has passed. Without these notices, each planned restart under load would block
the slots for many seconds after the requests in them had been answered.

A lost notice costs only this wait. A notice that was applied twice, or that reported a request that
was not in the handed-over list, would free a slot that is still busy. Each attempt is therefore
reported once, over an ordered stream, and only if it was in the handed-over list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from .._errors import PeerError
from .._ids import Epoch, MemberId, PartitionId, RequestId, TargetId
from ..adapters import Control, Peers, decode_content, encode_content
from ._control_handler import ControlHandler
from ._ownership import OwnershipView

SLOTS_RELEASED = "slots-released"

EARLY_NOTICE_SECONDS = 10.0
"""How long a notice is kept that arrives before the record that makes this member the owner."""


@dataclass(frozen=True, slots=True)
class SlotsReleased:
    """A message that ``count`` of the handed-over busy slots of a target are free."""

    target_id: TargetId
    partition: PartitionId
    since: Epoch
    """The epoch in which the receiver acquired the partition."""
    count: int


class SlotReleases(ControlHandler):
    """Sends notices for targets that were handed over, and applies the notices of other members."""

    def __init__(self, ownership: OwnershipView, peers: Peers) -> None:
        """Call ``attach`` before use."""
        self._ownership = ownership
        self._peers = peers
        self._handed_over: dict[RequestId, tuple[TargetId, PartitionId]] = {}
        self._pending: dict[tuple[TargetId, PartitionId], int] = {}
        self._early: list[tuple[float, SlotsReleased]] = []
        self._apply: Callable[[SlotsReleased], bool] | None = None
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery, apply: Callable[[SlotsReleased], bool]) -> None:
        """Send in ``nursery``.

        ``apply`` frees the slots, or returns False if this entry does not own the target yet.
        """
        self._nursery = nursery
        self._apply = apply

    def note_handed_over(
        self, target_id: TargetId, partition: PartitionId, attempts: tuple[RequestId, ...]
    ) -> None:
        """Record the attempts in the list of busy slots that is sent to the target's next owner."""
        key = (target_id, partition)
        self._handed_over = {
            attempt: target_key
            for attempt, target_key in self._handed_over.items()
            if target_key != key
        }
        self._handed_over.update(dict.fromkeys(attempts, key))
        self._pending.pop(key, None)

    def note_ended(self, attempt: RequestId) -> None:
        """Report that an attempt is proved to have ended."""
        key = self._handed_over.pop(attempt, None)
        if key is not None:
            self._pending[key] = self._pending.get(key, 0) + 1
            self.send_pending()

    def send_pending(self) -> None:
        """Send the pending notices whose targets have a new owner."""
        for key, count in tuple(self._pending.items()):
            target_id, partition = key
            ownership = self._ownership.ownership_of(partition)
            if ownership is None or ownership.owner in (None, self._ownership.member_id):
                continue
            del self._pending[key]
            if ownership.owner is not None and self._nursery is not None:
                notice = SlotsReleased(target_id, partition, ownership.since, count)
                self._nursery.start_soon(self._send, ownership.owner, notice)

    def apply_early(self) -> None:
        """Apply the notices that arrived before the change of ownership; call it after a change."""
        now = trio.current_time()
        early, self._early = self._early, []
        for received_at, notice in early:
            if now - received_at < EARLY_NOTICE_SECONDS:
                self._apply_or_keep(notice, received_at)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        self._apply_or_keep(decode_content(content, SlotsReleased), trio.current_time())
        return None

    def _apply_or_keep(self, notice: SlotsReleased, received_at: float) -> None:
        if self._apply is not None and not self._apply(notice):
            self._early.append((received_at, notice))

    async def _send(self, owner: MemberId, notice: SlotsReleased) -> None:
        try:
            stream = await self._peers.stream(owner)
            stream.send(Control(SLOTS_RELEASED, encode_content(notice)))
        except PeerError:
            return
