"""Decides which machines of a wave are cordoned and go down, and when a wave is over."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ..._ids import ExecutorId, MachineId, ServiceName
from ._runs import Run, RunPhase, Task
from ._service_state import ServiceState
from ._waves import MachineListing, MachineState, UpkeepMark, UpkeepPhase, UpkeepWave

CORDONED_AHEAD = 1
"""Number of machines that are cordoned while others are still down. Waiting for a machine to become
empty takes as long as its longest task, about two seconds, which is also the duration of an upkeep.
More machines would be idle."""
MAX_CORDON_WAIT_SECONDS = 8.0
"""How long a cordoned machine waits for tasks that neither are long-running nor checkpoint; then
they are stopped as well. Most end within 5 s, and the wave has to end in time."""


@dataclass(frozen=True, slots=True)
class WaveView:
    """The state of one wave, from the list of machines and the marks in the store."""

    wave: UpkeepWave
    machines: Mapping[MachineId, MachineListing]
    """The machines that the platform lists."""
    marks: Mapping[MachineId, UpkeepMark]

    def has_begun(self, machine: MachineId) -> bool:
        """Whether a machine's upkeep has begun, or is not needed as the machine was removed."""
        return machine not in self.machines or self._phase(machine) is UpkeepPhase.BEGUN

    def is_ordered(self, machine: MachineId) -> bool:
        """Whether an order was sent that may or may not have been carried out."""
        return self._phase(machine) is UpkeepPhase.ORDERED

    def is_over(self) -> bool:
        """Whether every remaining machine has had its upkeep."""
        return not self.down() and all(map(self.has_begun, self.wave.machines))

    def down(self) -> set[MachineId]:
        """Return the wave's machines that are, or may be, down now.

        An order without an answer may be carried out seconds later. If its machine didn't count as
        down, more machines could go down at once than the operator allows.
        """
        return {
            machine
            for machine in self.wave.machines
            if machine in self.machines
            and (self.machines[machine].state is MachineState.UPKEEP or self.is_ordered(machine))
        }

    def next_service(self) -> ServiceName | None:
        """Return the service whose machines are next, or None.

        Services have different owners, each of which counts only its own orders. So the services of
        a wave take turns in the order of their names.
        """
        services = (
            self.machines[machine].service
            for machine in self.wave.machines
            if not self.has_begun(machine)
        )
        return min(services, default=None)

    def _phase(self, machine: MachineId) -> UpkeepPhase | None:
        mark = self.marks.get(machine)
        return mark.phase if mark is not None else None


class Upkeep:
    """Handles the machines of one service in the waves of upkeep."""

    def __init__(self, state: ServiceState, service: ServiceName) -> None:
        """Initialize without waves."""
        self._state = state
        self._service = service
        self._cordoned: dict[MachineId, tuple[ExecutorId, float]] = {}
        """Machines that get no new work, with their executor and the time when they were
        cordoned."""

    def recover(self, marks: Iterable[tuple[MachineId, UpkeepMark]], now: float) -> None:
        """Cordon the machines that an earlier owner has ordered down.

        Its order may still be on its way, and would end runs that this owner has just started
        there.
        """
        self._set_cordoned(
            {
                machine: (mark.executor, now)
                for machine, mark in marks
                if mark.phase is UpkeepPhase.ORDERED and mark.executor is not None
            },
            set(),
        )

    def is_cordoned(self, executor: ExecutorId) -> bool:
        """Whether an executor's machine goes down next, or may have been ordered down."""
        return any(name == executor for name, _ in self._cordoned.values())

    def next_orders(self, views: Iterable[WaveView], now: float) -> list[tuple[int, MachineId]]:
        """Return the wave and machine of each upkeep to order now; cordon those that come next."""
        orders: list[tuple[int, MachineId]] = []
        to_cordon: dict[MachineId, tuple[ExecutorId, float]] = {}
        due_executors: set[ExecutorId] = set()
        open_views = [view for view in views if not view.is_over()]
        # A machine may be in two waves. If it were ordered down for both at once, the second order
        # would be refused now and, sent again, would take the machine down just when it is back in
        # use.
        already_down = {machine for view in open_views for machine in view.down()}
        for view in open_views:
            down = view.down()
            for machine, executor in self._unconfirmed(view):
                if executor is None or self._is_empty(executor):
                    orders.append((view.wave.number, machine))
                if executor is not None:
                    to_cordon[machine] = self._cordon(machine, executor, now)
            remaining = max(0, view.wave.max_at_once - len(down))
            candidates = [
                candidate
                for candidate in self._candidates(view)
                if candidate[0] not in already_down
            ]
            due_executors.update(name for _, name in candidates)
            if view.next_service() != self._service:
                continue
            chosen = self._in_order(candidates)[: remaining + CORDONED_AHEAD]
            for machine, executor in chosen:
                to_cordon[machine] = self._cordon(machine, executor, now)
                if remaining and self._is_empty(executor):
                    orders.append((view.wave.number, machine))
                    already_down.add(machine)
                    remaining -= 1
        self._set_cordoned(to_cordon, due_executors)
        return orders

    def _cordon(
        self, machine: MachineId, executor: ExecutorId, now: float
    ) -> tuple[ExecutorId, float]:
        """Return a machine's present executor and since when the machine is cordoned."""
        _, since = self._cordoned.get(machine, (executor, now))
        return executor, since

    def evict(self, now: float) -> None:
        """Stop the runs on cordoned executors that would not end by themselves."""
        for executor_id, since in self._cordoned.values():
            executor = self._state.executors.get(executor_id)
            if executor is None:
                continue
            for run in tuple(executor.working_runs()):
                step = run.task.spec
                overdue = now - since > MAX_CORDON_WAIT_SECONDS
                if step.long_running:
                    if may_become_unavailable(run):
                        self._state.stop(run, now)
                elif step.checkpointing or overdue:
                    self._state.stop(run, now)

    def _unconfirmed(self, view: WaveView) -> Iterator[tuple[MachineId, ExecutorId | None]]:
        """Yield the machines of the service whose order may not have been carried out.

        The answer was lost, or the owner that sent the order is gone. Only repeating the order
        under a newer token settles that. Until then no task may start there, since the order may
        still arrive.
        """
        for machine in sorted(view.down()):
            listed = view.machines[machine]
            if view.is_ordered(machine) and listed.service == self._service:
                yield machine, listed.executor if listed.state is MachineState.UP else None

    def _candidates(self, view: WaveView) -> Iterator[tuple[MachineId, ExecutorId]]:
        """Yield the machines of the service that are up and wait for their upkeep."""
        for machine in view.wave.machines:
            listed = view.machines.get(machine)
            if listed is None or machine in view.marks or listed.service != self._service:
                continue
            if listed.state is MachineState.UP and listed.executor is not None:
                yield machine, listed.executor

    def _in_order(
        self, candidates: list[tuple[MachineId, ExecutorId]]
    ) -> list[tuple[MachineId, ExecutorId]]:
        """Sort cordoned machines first, then those with the least long-running work."""

        def order(candidate: tuple[MachineId, ExecutorId]) -> tuple[bool, int, str]:
            executor = self._state.executors.get(candidate[1])
            used = executor.long_running_cpu_millis if executor is not None else 0
            return candidate[0] not in self._cordoned, used, candidate[0]

        return sorted(candidates, key=order)

    def _is_empty(self, name: ExecutorId) -> bool:
        executor = self._state.executors.get(name)
        # An executor that this owner has not reached yet may have runs of an earlier owner.
        if executor is None or name in self._state.unreached:
            return False
        return not executor.runs

    def _set_cordoned(
        self, to_cordon: dict[MachineId, tuple[ExecutorId, float]], due_executors: set[ExecutorId]
    ) -> None:
        self._cordoned = to_cordon
        cordoned_executors = {name for name, _ in to_cordon.values()}
        for name, executor in self._state.executors.items():
            executor.cordoned = name in cordoned_executors
            executor.upkeep_due = name in due_executors


def may_become_unavailable(run: Run) -> bool:
    """Whether the unavailability budget of its step allows a long-running task to be stopped now.

    The step promises its users that only this many tasks are unavailable at once. A second task
    stopped before the first one serves again would leave them with fewer. A step without a budget
    has one task moved at a time all the same.
    """
    task = run.task
    # The report that a task serves arrives late; other tasks count as available only once they are
    # known to serve.
    unavailable = sum(not is_serving(sibling) for sibling in _siblings(task))
    return unavailable < max(1, task.spec.unavailable_budget)


def is_serving(task: Task) -> bool:
    """Whether a long-running task has started up and serves."""
    return any(run.phase is RunPhase.RUNNING and run.progress_percent >= 100 for run in task.runs)


def _siblings(task: Task) -> Iterator[Task]:
    key = task.key
    for other_key, sibling in task.job.tasks.items():
        same = other_key.step == key.step and other_key.occurrence == key.occurrence
        if same and sibling is not task:
            yield sibling
