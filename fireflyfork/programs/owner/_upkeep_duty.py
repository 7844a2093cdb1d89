"""Carries out waves of upkeep for the machines of one service."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._errors import StoreError, TransactionConflictError
from ..._ids import MachineId, NodeName, Revision
from ...adapters import CoordinationStore, MachineCalls, Put, StoredItem
from ...decisions.jobs import (
    MachineListing,
    Scheduler,
    StoredFormatError,
    UpkeepMark,
    UpkeepOutcome,
    UpkeepPhase,
    UpkeepWave,
    WaveView,
    decode_upkeep_mark,
    encode_upkeep_mark,
)
from ...platform import encode_wave_status, is_completed_status, wave_status_key
from .._clocks import Clock
from .._scheduling_keys import UPKEEP_PREFIX, owner_key, upkeep_key, upkeep_prefix
from ._service_journal import OwnershipLostError
from ._service_lease import Term

LIST_INTERVAL_SECONDS = 0.5
"""Interval at which machines are listed while a wave is open.

The upkeep of a machine takes about 2 s, and the platform limits the rate of requests."""


class UpkeepDuty:
    """One owner's part in the waves of upkeep.

    An order without an answer may be carried out seconds later, even after this owner has ended.
    Each order is therefore stored before it is sent: the successor counts the machine as down, and
    repeats the order under its own token until the platform has confirmed it.
    """

    def __init__(
        self,
        store: CoordinationStore,
        machines: MachineCalls,
        scheduler: Scheduler,
        term: Term,
        node: NodeName,
        clock: Clock,
        waves: Callable[[], tuple[UpkeepWave, ...]],
    ) -> None:
        """Set up the duty; ``waves`` returns the waves of upkeep that the operator requested."""
        self._store = store
        self._machines = machines
        self._scheduler = scheduler
        self._term = term
        self._node = node
        self._clock = clock
        self._waves = waves
        self._finished: set[int] = set()
        self._reported: set[int] = set()

    async def recover(self) -> None:
        """Read which orders earlier owners have sent. Raises StoreError."""
        if not self._waves():
            return
        listing = await self._store.list(UPKEEP_PREFIX)
        marks = ((item.key.rpartition("/")[2], _decode_mark(item)) for item in listing.items)
        known_marks = [(MachineId(name), mark) for name, mark in marks if mark is not None]
        self._scheduler.recover_upkeep(known_marks, self._clock.now())

    async def run(self) -> None:
        """Carry out waves until cancelled. Raises OwnershipLostError."""
        while True:
            await trio.sleep(LIST_INTERVAL_SECONDS)
            waves = [wave for wave in self._waves() if wave.number not in self._finished]
            if not waves:
                # A wave may be withdrawn while machines are emptied for it; they become available
                # for work again.
                self._scheduler.next_upkeep((), self._clock.now())
                continue
            try:
                await self._process_waves(waves)
            except TransactionConflictError as error:
                raise OwnershipLostError("another owner has taken over") from error
            except StoreError as error:
                logger.info("upkeep waits for the store", error=str(error))

    async def _process_waves(self, waves: list[UpkeepWave]) -> None:
        started_at = self._clock.now()
        listed = await self._machines.list()
        if listed is None:
            return
        machines = {listing.machine: listing for listing in listed}
        views = [await self._view(wave, machines) for wave in waves]
        for view in views:
            await self._report(view)
        open_views = [view for view in views if view.wave.number not in self._finished]
        for wave, machine in self._scheduler.next_upkeep(open_views, self._clock.now()):
            stale = self._clock.now() - started_at > LIST_INTERVAL_SECONDS
            if stale or not await self._order(wave, machines[machine]):
                # The remaining machines were selected from a listing that is seconds old, in which
                # a machine that is back at work may still be down.
                return

    async def _view(self, wave: UpkeepWave, machines: dict[MachineId, MachineListing]) -> WaveView:
        prefix = upkeep_prefix(wave.number)
        listing = await self._store.list(prefix)
        marks = {
            MachineId(item.key.removeprefix(prefix)): mark
            for item in listing.items
            if (mark := _decode_mark(item)) is not None
        }
        return WaveView(wave, machines, marks)

    async def _report(self, view: WaveView) -> None:
        """Write the status of a wave for the operator. The status of a finished wave never changes."""
        number, over = view.wave.number, view.is_over()
        if not over and number in self._reported:
            return
        key = wave_status_key(number)
        stored_status = await self._store.read(key)
        if stored_status is not None and is_completed_status(stored_status.value):
            self._finished.add(number)
            return
        expected = {key: stored_status.revision if stored_status is not None else Revision(0)}
        try:
            await self._store.commit(expected, (Put(key, encode_wave_status(over)),))
        except TransactionConflictError:
            logger.info("upkeep wave reported by another instance", wave=number)
            return
        logger.info("upkeep wave", wave=number, over=over, machines=len(view.wave.machines))
        self._reported.add(number)
        if over:
            self._finished.add(number)

    async def _order(self, wave: int, listed: MachineListing) -> bool:
        """Order a machine down. Return False if there was no answer."""
        machine = listed.machine
        await self._mark(wave, machine, UpkeepMark(UpkeepPhase.ORDERED, listed.executor))
        outcome = await self._machines.begin_upkeep(machine, wave, self._node, self._term.token)
        logger.info("upkeep ordered", wave=wave, machine=machine, outcome=outcome.value)
        if outcome is UpkeepOutcome.FENCED:
            raise OwnershipLostError(f"machine {machine} reported a higher fencing token")
        if outcome is UpkeepOutcome.ACCEPTED:
            await self._mark(wave, machine, UpkeepMark(UpkeepPhase.BEGUN, None))
        return outcome is not UpkeepOutcome.UNKNOWN

    async def _mark(self, wave: int, machine: MachineId, mark: UpkeepMark) -> None:
        expected = {owner_key(self._term.service): self._term.owner_revision}
        put = Put(upkeep_key(wave, machine), encode_upkeep_mark(mark))
        await self._store.commit(expected, (put,))


def _decode_mark(item: StoredItem) -> UpkeepMark | None:
    """Decode a mark, or return None if it isn't readable; its machine is then ordered down again."""
    try:
        return decode_upkeep_mark(item.value)
    except StoredFormatError as error:
        logger.error("upkeep mark not readable", key=item.key, error=str(error))
        return None
