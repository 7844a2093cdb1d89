"""A simulation of the platform's service that lists machines and takes them down for upkeep."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from fireflyfork._ids import ExecutorId, FencingToken, MachineId, NodeName, ServiceName
from fireflyfork.adapters import MachineCalls
from fireflyfork.decisions.jobs import MachineListing, MachineState, UpkeepOutcome, UpkeepWave

from ._executors import StandInExecutor
from ._history import History

LATENCY_SECONDS = 0.01
TIMEOUT_SECONDS = 2.0
UPKEEP_SECONDS = 2.0
LATE_DELAY_SECONDS = (1.0, 6.0)


@dataclass(slots=True)
class MachinesTrouble:
    """Failures that currently affect orders."""

    lost_share: float = 0.0
    """Share of orders that are carried out but get no answer."""
    late_share: float = 0.0
    """Share of orders that get no answer and are carried out seconds later."""


@dataclass(slots=True)
class _Machine:
    executor: StandInExecutor
    state: MachineState = MachineState.UP
    token: int = 0
    waves: set[int] = field(default_factory=set)
    """Numbers of the waves for which the machine has begun its upkeep."""
    down_for: int = 0
    """Number of the wave of the latest upkeep; 0 before the first."""


def machine_of(executor: ExecutorId) -> MachineId:
    """Return the machine on which an executor runs."""
    return MachineId(f"m-{executor}")


class StandInMachines:
    """All machines of one service, each with one executor."""

    def __init__(
        self,
        service: ServiceName,
        executors: dict[ExecutorId, StandInExecutor],
        history: History,
        random: Random,
    ) -> None:
        """Create machines that are all up. Violations of upkeep limits are recorded in ``history``."""
        self.trouble = MachinesTrouble()
        self.waves: list[UpkeepWave] = []
        self._service = service
        self._machines = {
            machine_of(name): _Machine(executor) for name, executor in executors.items()
        }
        self._history = history
        self._random = random

    def client(self, nursery: trio.Nursery) -> MachineCalls:
        """Return a client for one instance.

        Late orders and upkeeps run in ``nursery``, even after the instance has ended.
        """
        return _Client(self, nursery)

    def begun(self, wave: UpkeepWave) -> bool:
        """Return whether all machines of a wave have begun their upkeep."""
        return all(wave.number in self._machines[name].waves for name in wave.machines)

    def listing(self) -> tuple[MachineListing, ...]:
        """Return the state of all machines, with the executors of those that are up."""
        return tuple(
            MachineListing(
                name,
                self._service,
                machine.state,
                machine.executor.executor if machine.state is MachineState.UP else None,
            )
            for name, machine in self._machines.items()
        )

    def order(
        self, name: MachineId, wave: int, token: FencingToken, nursery: trio.Nursery
    ) -> UpkeepOutcome:
        """Begin the upkeep of a machine, unless the order is fenced, unknown or the machine is busy.

        Records a violation if too many machines of the wave are down or the machine still runs tasks.
        """
        machine = self._machines.get(name)
        known = next((other for other in self.waves if other.number == wave), None)
        if machine is None:
            return UpkeepOutcome.UNKNOWN_MACHINE
        if token < machine.token:
            return UpkeepOutcome.FENCED
        machine.token = token
        if known is None or name not in known.machines:
            return UpkeepOutcome.OTHER_WAVE
        if wave in machine.waves:
            return UpkeepOutcome.ACCEPTED
        if machine.state is not MachineState.UP or not machine.executor.up:
            return UpkeepOutcome.BUSY
        down = sum(
            self._machines[other].state is MachineState.UPKEEP
            and self._machines[other].down_for == wave
            for other in known.machines
        )
        if down >= known.max_at_once:
            self._history.record_violation("upkeep limit", f"{name} goes down beside {down} others")
        if machine.executor.running:
            work = ", ".join(machine.executor.running)
            self._history.record_violation("upkeep", f"{name} goes down with {work}")
        machine.waves.add(wave)
        machine.down_for = wave
        machine.state = MachineState.UPKEEP
        machine.executor.crash()
        machine.executor.unregister()
        nursery.start_soon(self._end_upkeep, machine)
        return UpkeepOutcome.ACCEPTED

    async def _end_upkeep(self, machine: _Machine) -> None:
        await trio.sleep(UPKEEP_SECONDS)
        machine.state = MachineState.UP
        machine.executor.restart()

    def draws(self, share: float) -> bool:
        """Draw whether a failure with this probability happens to an order."""
        return share > 0 and self._random.random() < share

    async def carry_out_late(self, carry_out: Callable[[], object]) -> None:
        """Carry out an order after a delay drawn from ``LATE_DELAY_SECONDS``."""
        await trio.sleep(self._random.uniform(*LATE_DELAY_SECONDS))
        carry_out()


class _Client(MachineCalls):
    def __init__(self, machines: StandInMachines, nursery: trio.Nursery) -> None:
        self._machines = machines
        self._nursery = nursery

    async def list(self) -> tuple[MachineListing, ...] | None:
        await trio.sleep(LATENCY_SECONDS)
        return self._machines.listing()

    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        await trio.sleep(LATENCY_SECONDS)
        trouble = self._machines.trouble

        def carry_out() -> UpkeepOutcome:
            return self._machines.order(machine, wave, token, self._nursery)

        if self._machines.draws(trouble.late_share):
            self._nursery.start_soon(self._machines.carry_out_late, carry_out)
            await trio.sleep(TIMEOUT_SECONDS)
            return UpkeepOutcome.UNKNOWN
        outcome = carry_out()
        if self._machines.draws(trouble.lost_share):
            await trio.sleep(TIMEOUT_SECONDS)
            return UpkeepOutcome.UNKNOWN
        return outcome
