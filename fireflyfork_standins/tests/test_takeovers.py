"""Tests of changes of owner at moments that random days of trouble rarely hit."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from fireflyfork._ids import JobId

from ..scheduling import StandInExecutor, run_deterministically
from .builders_takeovers import LONG_MS, SmallPlatform

JOB = JobId("00000000000000aa")
SEED = 1
START_VALID_MS = 1_000
"""Time for which a start alone allows a task to run. A renewal extends it."""
AWAY_SECONDS = 2.5
"""Time of a partition that is longer than a short task and shorter than the executor's lease."""
BARELY_AWAY_SECONDS = 0.4
"""Time of a partition after which a lease can still be renewed. A run whose lease wasn't renewed yet
continues for one second."""
FORGOTTEN_SECONDS = 7.0
"""Time of a partition after which an executor's lease has expired and its owner has dropped it."""
ORPHANED_SECONDS = 2.6
"""Time without the store after which an owner renews no lease."""
ONE_POLL_SECONDS = 0.7
"""Time for exactly one list of an unreachable executor to arrive, as the owner polls it once a
second."""
LAST_WATCH_SECONDS = 4.0
"""Time after which the last watch that is answered has ended."""
RECOVERY_SECONDS = 9.5
"""Time that is longer than a new owner waits for an unreachable executor."""
SOON_SECONDS = 1.0
"""Time that is ample for a task to start, or for an end to be stored and forgotten."""
TROUBLE_SECONDS = 0.7
"""Time that is shorter than the timeout of a call without an answer."""


def play(body: Callable[[SmallPlatform], Awaitable[None]]) -> SmallPlatform:
    """Run ``body`` on a platform with an active owner and without executors. Return the platform."""
    stage = SmallPlatform(SEED)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await stage.begin(nursery)
            await body(stage)
            nursery.cancel_scope.cancel()

    run_deterministically(SEED, main)
    return stage


async def change_owner_while_away(
    stage: SmallPlatform, executor: StandInExecutor, seconds: float = AWAY_SECONDS
) -> None:
    """Depose the owner while ``executor`` is unreachable for ``seconds`` and another one is added.

    Waits until the job is completed.
    """
    stage.depose()
    stage.vanish(executor)
    stage.add_executor("i-1")
    await trio.sleep(seconds)
    stage.reconnect(executor)
    await stage.until_completed(JOB)


class NewExecutorsTest(unittest.TestCase):
    """A new owner waits for every executor that may still run tasks of the last owner."""

    def test_an_executor_that_has_just_come(self) -> None:
        """An executor registers and gets its first task within milliseconds. Its owner is replaced
        before it could store that it uses the executor, whose registration then expires because of a
        saturated link. A successor without a record of the executor would start the task again on
        another one, and its effects would happen twice.
        """

        async def body(stage: SmallPlatform) -> None:
            await stage.hand_in(JOB)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            await change_owner_while_away(stage, executor)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 1)

    def test_an_end_that_nobody_has_heard_of(self) -> None:
        """A new executor is unreachable after a change of owner, as above. Its task completes there
        before another executor has room. A successor that doesn't wait would run the task again, and
        would receive the first end too late.
        """

        async def body(stage: SmallPlatform) -> None:
            await stage.hand_in(JOB)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            stage.depose()
            stage.vanish(executor)
            await stage.until(lambda: bool(stage.history.ends))
            stage.add_executor("i-1")
            await trio.sleep(SOON_SECONDS)
            stage.reconnect(executor)
            await stage.until_completed(JOB)
            await trio.sleep(SOON_SECONDS)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 1)

    def test_an_executor_that_had_been_dropped_and_is_back(self) -> None:
        """The owner has dropped an executor and stored that. When the executor is reachable again, it
        gets a task at once, and the owner is replaced before it could store that it uses the executor
        again.
        """

        async def body(stage: SmallPlatform) -> None:
            await stage.hand_in(JOB, LONG_MS)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            await trio.sleep(0.2)
            stage.vanish(executor)
            await trio.sleep(FORGOTTEN_SECONDS)
            stage.reconnect(executor)
            await stage.until(lambda: stage.history.starts == 2)
            await change_owner_while_away(stage, executor, BARELY_AWAY_SECONDS)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 2)

    def test_a_write_without_an_answer_tells_a_successor_nothing(self) -> None:
        """The owner stores that it uses an executor, but gets no answer. The write may have been lost,
        so no task may start there yet. If the owner considered the write as stored, the executor could
        run a task for which no successor waits.
        """

        async def body(stage: SmallPlatform) -> None:
            await stage.hand_in(JOB)
            stage.store.trouble.lost_share = stage.store.trouble.late_share = 1.0
            executor = stage.add_executor("i-0")
            await trio.sleep(TROUBLE_SECONDS)
            stage.store.trouble.lost_share = 0.0
            await change_owner_while_away(stage, executor)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 1)


class EarlierLeasesTest(unittest.TestCase):
    """A new owner takes the leases into account that the last one granted."""

    def test_an_owner_that_does_not_hear_of_its_successor(self) -> None:
        """An owner's watch of work gets no answer, while its other calls to the store do. The owner
        isn't notified of its replacement, and would keep renewing the lease of an executor that only it
        can reach. Its successor waits only as long as an owner without the store may continue. It then
        starts the task elsewhere, so the task would run on two executors.
        """

        async def body(stage: SmallPlatform) -> None:
            both = [stage.add_executor("i-0"), stage.add_executor("i-1")]
            await trio.sleep(SOON_SECONDS)
            await stage.hand_in(JOB, LONG_MS)
            await stage.until(lambda: stage.history.starts == 1)
            (executor,) = (one for one in both if one.running)
            await trio.sleep(SOON_SECONDS)
            last = stage.owner.name
            stage.silence_work(last)
            stage.cut(executor, *(node.name for node in stage.nodes if node.name != last))
            await trio.sleep(LAST_WATCH_SECONDS)
            stage.depose()
            await trio.sleep(RECOVERY_SECONDS)

        self.assertEqual(play(body).broken, [])

    def test_an_executor_that_is_heard_once_while_the_store_is_away(self) -> None:
        """The owner renews an executor's lease and is replaced. The store fails just after its successor
        has read the state. The executor is unreachable for some seconds, then returns one list with the
        task, and is unreachable again. A successor that renews no lease without the store, and doesn't
        account for its predecessor's, considers the lease expired and starts the task elsewhere while
        it still runs.
        """

        async def body(stage: SmallPlatform) -> None:
            both = [stage.add_executor("i-0"), stage.add_executor("i-1")]
            await trio.sleep(SOON_SECONDS)
            await stage.hand_in(JOB, LONG_MS)
            await stage.until(lambda: stage.history.starts == 1)
            (executor,) = (one for one in both if one.running)
            await stage.until(lambda: executor.remaining_lease_ms > START_VALID_MS)
            stage.depose()
            stage.cut(executor)
            await stage.until(lambda: not stage.has_active_owner)
            await stage.until(lambda: stage.has_active_owner)
            stage.store.trouble.down = True
            await trio.sleep(ORPHANED_SECONDS)
            stage.connect(executor)
            await trio.sleep(ONE_POLL_SECONDS)
            stage.cut(executor)
            await trio.sleep(AWAY_SECONDS)
            stage.store.trouble.down = False
            stage.connect(executor)
            await stage.until_completed(JOB)

        self.assertEqual(play(body).broken, [])
