"""Kinds of trouble that can occur on a simulated day."""

from __future__ import annotations

from random import Random

import trio

from fireflyfork._ids import ExecutorId, ServiceName
from fireflyfork.programs._scheduling_keys import owner_key

from ._advisor import AdvisorTrouble, StandInAdvisor
from ._executors import StandInExecutor
from ._machines import StandInMachines
from ._nodes import StandInNode
from ._store import StandInStore

TROUBLES = (
    "kill",
    "kill_all",
    "freeze",
    "stop",
    "store_down",
    "store_refuses_owner",
    "store_lost",
    "store_forgets",
    "executor_crash",
    "executor_cut",
    "executor_reborn",
    "late_orders",
    "lost_orders",
    "executor_fails",
    "executor_stalls",
    "unregistered",
)
"""Kinds of trouble. Each is the name of a method of ``Troubles`` without its leading underscore."""
UPKEEP_TROUBLES = (*TROUBLES, "upkeep_lost")
"""Kinds of trouble of days with waves of upkeep. They are a separate tuple because a seed draws kinds
by their index, and seeds that once revealed a fault must always play the same day."""
ALL_TROUBLES = (*UPKEEP_TROUBLES, "executor_slow", "graceful_stop")
"""All kinds of trouble except ``executor_flaps``, ``executor_reborn_cut`` and ``answers_late``, which
would change the days of existing seeds."""
INCARNATION_TROUBLES = ("executor_flaps", "executor_reborn_cut", "executor_cut", "unregistered")
"""Kinds of trouble in which executors restart under their ids, repeatedly or just before a network
partition."""
ADVISOR_TROUBLES = (
    "advisor_slow",
    "advisor_slow_call",
    "advisor_loses_answers",
    "advisor_resets",
    "advisor_late",
    "advisor_refuses",
)
"""Kinds of trouble of days with an advisor."""
RESTART_SECONDS = 0.7
FLAPS = 4
FLAP_SECONDS = (0.3, 1.4)
CALL_WAIT_SECONDS = 3.0
LATE_ANSWERS_SHARE = 0.5
LATE_ANSWER_SECONDS = (0.7, 3.0)
GRACE_SECONDS = 2.0


class Troubles:
    """Injects kinds of trouble, which may overlap, at random or planned times."""

    def __init__(
        self,
        service: ServiceName,
        nodes: list[StandInNode],
        executors: dict[ExecutorId, StandInExecutor],
        store: StandInStore,
        machines: StandInMachines,
        random: Random,
        kinds: tuple[str, ...],
        seconds: float,
        gap_seconds: float,
        advisor: StandInAdvisor | None = None,
    ) -> None:
        """Prepare to draw from ``kinds`` for ``seconds``, every ``gap_seconds`` on average."""
        self.log: list[str] = []
        """Time and kind of each trouble that was injected."""
        self.longest_hand_over = 0.0
        """Maximum time from the planned stop of an owner until another owner is active, in seconds."""
        self._service = service
        self._nodes = nodes
        self._executors = executors
        self._store = store
        self._machines = machines
        self._random = random
        self._kinds = kinds
        self._seconds = seconds
        self._gap_seconds = gap_seconds
        self._advisor_trouble = AdvisorTrouble() if advisor is None else advisor.trouble

    async def run(self, nursery: trio.Nursery) -> None:
        """Inject random trouble until the day's traffic ends.

        The tasks that it starts continue in ``nursery``.
        """
        end = trio.current_time() + self._seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(1 / self._gap_seconds))
            kind = self._random.choice(self._kinds)
            self.log.append(f"{trio.current_time():.2f} {kind}")
            nursery.start_soon(getattr(self, f"_{kind}"), nursery)

    async def run_planned(
        self, planned: tuple[tuple[float, str], ...], nursery: trio.Nursery
    ) -> None:
        """Inject each planned kind at its time, given in seconds from now."""
        begun = trio.current_time()
        for at, kind in planned:
            await trio.sleep_until(begun + at)
            self.log.append(f"{trio.current_time():.2f} {kind}")
            nursery.start_soon(getattr(self, f"_{kind}"), nursery)

    def _some_node(self) -> StandInNode:
        """Draw an instance. The owner is preferred because trouble there has the most effects."""
        owners = [node for node in self._nodes if node.is_owner]
        if owners and self._random.random() < 0.7:
            return owners[0]
        return self._random.choice(self._nodes)

    def _some_executor(self) -> StandInExecutor:
        return self._random.choice(list(self._executors.values()))

    def _for_seconds(self) -> float:
        return self._random.uniform(0.3, 8.0)

    async def _kill(self, nursery: trio.Nursery) -> None:
        await self._restart(self._some_node(), nursery, RESTART_SECONDS)

    async def _kill_all(self, nursery: trio.Nursery) -> None:
        for node in self._nodes:
            nursery.start_soon(self._restart, node, nursery, self._random.uniform(0.5, 2.5))

    async def _restart(self, node: StandInNode, nursery: trio.Nursery, after: float) -> None:
        if not node.up:
            return
        node.kill()
        await trio.sleep(after)
        if not node.up:
            nursery.start_soon(node.run_process, nursery)

    async def _freeze(self, _: trio.Nursery) -> None:
        node = self._some_node()
        node.freeze()
        await trio.sleep(self._for_seconds())
        node.thaw()

    async def _stop(self, nursery: trio.Nursery) -> None:
        node = self._some_node()
        await node.stop()
        await self._restart(node, nursery, RESTART_SECONDS)
        if not node.up:
            await trio.sleep(RESTART_SECONDS)
            if not node.up:
                nursery.start_soon(node.run_process, nursery)

    async def _graceful_stop(self, nursery: trio.Nursery) -> None:
        """As the platform does it: the process has seconds to end what it has begun."""
        node = self._some_node()
        if node.is_active_owner:
            nursery.start_soon(self._time_hand_over, node)
        await node.stop()
        await trio.sleep(GRACE_SECONDS)
        node.kill()
        await trio.sleep(RESTART_SECONDS)
        if not node.up:
            nursery.start_soon(node.run_process, nursery)

    async def _time_hand_over(self, stopped: StandInNode) -> None:
        others = [node for node in self._nodes if node is not stopped]
        begun = trio.current_time()
        while not any(node.is_active_owner for node in others):
            await trio.sleep(0.01)
            if not any(node.up for node in others):
                # All instances are being restarted, so none can take over.
                begun = trio.current_time()
        self.longest_hand_over = max(self.longest_hand_over, trio.current_time() - begun)

    async def _store_down(self, _: trio.Nursery) -> None:
        self._store.trouble.down = True
        await trio.sleep(self._for_seconds())
        self._store.trouble.down = False

    async def _store_refuses_owner(self, _: trio.Nursery) -> None:
        node = self._some_node()
        group = self._random.choice((self._store.trouble.refused, self._store.trouble.silent))
        group.add(node.name)
        if self._random.random() < 0.5:
            self._store.revoke(owner_key(self._service))
        await trio.sleep(self._for_seconds())
        group.discard(node.name)

    async def _store_lost(self, _: trio.Nursery) -> None:
        self._store.trouble.lost_share = 0.3
        self._store.trouble.late_share = self._random.choice((0.0, 0.5))
        await trio.sleep(self._for_seconds())
        self._store.trouble.lost_share = 0.0

    async def _store_forgets(self, _: trio.Nursery) -> None:
        self._store.drop_history()

    async def _executor_crash(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        if not executor.up:
            return
        executor.crash()
        await trio.sleep(4.5)
        executor.unregister()
        await trio.sleep(self._for_seconds())
        executor.restart()

    async def _executor_reborn(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        if executor.up:
            executor.crash()
            await trio.sleep(self._random.uniform(0.05, 1.0))
            executor.restart()

    async def _executor_flaps(self, _: trio.Nursery) -> None:
        """Crash and restart one executor repeatedly."""
        executor = self._some_executor()
        for _turn in range(FLAPS):
            if executor.up:
                executor.crash()
            await trio.sleep(self._random.uniform(*FLAP_SECONDS))
            if not executor.up:
                executor.restart()
            await trio.sleep(self._random.uniform(*FLAP_SECONDS))

    async def _executor_reborn_cut(self, _: trio.Nursery) -> None:
        """Restart an executor while a call is in transit, then cut it off from all instances."""
        executor = self._some_executor()
        executor.trouble.restarts_at_next_call = True
        with trio.move_on_after(CALL_WAIT_SECONDS):
            while executor.trouble.restarts_at_next_call:
                await trio.sleep(0.005)
        executor.trouble.restarts_at_next_call = False
        await trio.sleep(self._random.uniform(0.0, 0.1))
        cut = {node.name for node in self._nodes}
        executor.trouble.unreachable_from |= cut
        await trio.sleep(self._random.uniform(5.0, 9.0))
        executor.trouble.unreachable_from -= cut

    async def _answers_late(self, _: trio.Nursery) -> None:
        """Delay the answers of some executors by seconds, as over a saturated link."""
        for executor in self._executors.values():
            if self._random.random() < LATE_ANSWERS_SHARE:
                executor.trouble.answer_delay_seconds = self._random.uniform(*LATE_ANSWER_SECONDS)
        await trio.sleep(self._random.uniform(5.0, 8.0))
        for executor in self._executors.values():
            executor.trouble.answer_delay_seconds = 0.0

    async def _executor_cut(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        cut = {node.name for node in self._nodes if self._random.random() < 0.7}
        executor.trouble.unreachable_from |= cut
        await trio.sleep(self._for_seconds())
        executor.trouble.unreachable_from -= cut

    async def _late_orders(self, _: trio.Nursery) -> None:
        await self._share("late_share", 0.2)

    async def _lost_orders(self, _: trio.Nursery) -> None:
        await self._share("lost_share", 0.2)

    async def _executor_fails(self, _: trio.Nursery) -> None:
        await self._share("fail_share", 1.0)

    async def _share(self, which: str, share: float) -> None:
        executor = self._some_executor()
        setattr(executor.trouble, which, share)
        await trio.sleep(self._for_seconds())
        setattr(executor.trouble, which, 0.0)

    async def _executor_stalls(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        executor.trouble.stalled = True
        await trio.sleep(self._for_seconds())
        executor.trouble.stalled = False

    async def _upkeep_lost(self, _: trio.Nursery) -> None:
        trouble = self._machines.trouble
        trouble.lost_share = trouble.late_share = 0.3
        await trio.sleep(self._for_seconds())
        trouble.lost_share = trouble.late_share = 0.0

    async def _executor_slow(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        executor.trouble.speed = 0.15
        await trio.sleep(self._for_seconds())
        executor.trouble.speed = 1.0

    async def _advisor_slow(self, _: trio.Nursery) -> None:
        trouble = self._advisor_trouble
        trouble.slowness = self._random.uniform(3.0, 20.0)
        await trio.sleep(self._for_seconds())
        trouble.slowness = 1.0

    async def _advisor_slow_call(self, _: trio.Nursery) -> None:
        self._advisor_trouble.next_call_seconds = self._for_seconds()

    async def _advisor_loses_answers(self, _: trio.Nursery) -> None:
        trouble = self._advisor_trouble
        trouble.loses_answers = True
        await trio.sleep(self._for_seconds())
        trouble.loses_answers = False

    async def _advisor_resets(self, _: trio.Nursery) -> None:
        trouble = self._advisor_trouble
        trouble.reset_share = self._random.choice((0.3, 1.0))
        await trio.sleep(self._for_seconds())
        trouble.reset_share = 0.0

    async def _advisor_late(self, _: trio.Nursery) -> None:
        trouble = self._advisor_trouble
        trouble.late_seconds = self._random.uniform(0.3, 4.0)
        await trio.sleep(self._for_seconds())
        trouble.late_seconds = 0.0

    async def _advisor_refuses(self, _: trio.Nursery) -> None:
        trouble = self._advisor_trouble
        trouble.refuses = True
        await trio.sleep(self._for_seconds())
        trouble.refuses = False

    async def _unregistered(self, _: trio.Nursery) -> None:
        executor = self._some_executor()
        if executor.up:
            executor.unregister()
            await trio.sleep(self._random.uniform(0.5, 2.0))
            if executor.up:
                executor.register()
