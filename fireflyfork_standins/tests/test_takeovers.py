"""Changes of owner at moments that days of trouble hardly ever hit."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from fireflyfork._ids import JobId

from ..scheduling import StandInExecutor, run_repeatably
from .builders_takeovers import LONG_MS, Stage

JOB = JobId("00000000000000aa")
SEED = 1
START_VALID_MS = 1_000
"""So long a start lets a task run by itself; a renewal lets it run for longer."""
AWAY_SECONDS = 2.5
"""Longer than a short task takes, shorter than the executor's lease."""
BARELY_AWAY_SECONDS = 0.4
"""A run whose lease was not renewed yet goes on for a second; after this there is time to renew it."""
FORGOTTEN_SECONDS = 7.0
"""An executor that is away for so long has lost its lease, and its owner has dropped it."""
ORPHANED_SECONDS = 2.6
"""An owner without the store for so long renews no lease."""
HEARD_SECONDS = 0.7
"""The owner tries such an executor each second; the next list after that would come a second later."""
ASKED_SECONDS = 4.0
"""The last question that is answered is over."""
UNHEARD_SECONDS = 9.5
"""Longer than a new owner waits for an executor that it doesn't reach."""
SOON_SECONDS = 1.0
"""A task starts, or an end is stored and forgotten, well within this."""
TROUBLE_SECONDS = 0.7
"""Shorter than a call that gets no answer takes."""


def play(body: Callable[[Stage], Awaitable[None]]) -> Stage:
    """Let ``body`` act on a platform with an owner and no executor."""
    stage = Stage(SEED)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await stage.begin(nursery)
            await body(stage)
            nursery.cancel_scope.cancel()

    run_repeatably(SEED, main)
    return stage


async def change_owner_while_away(
    stage: Stage, executor: StandInExecutor, seconds: float = AWAY_SECONDS
) -> None:
    """The owner goes, and an executor can't be reached for some seconds; another one can."""
    stage.depose()
    stage.vanish(executor)
    stage.add_executor("i-1")
    await trio.sleep(seconds)
    stage.turn_up(executor)
    await stage.until_completed(JOB)


class NewExecutorsTest(unittest.TestCase):
    """A new owner waits for every executor that may run something for the last one."""

    def test_an_executor_that_has_just_come(self) -> None:
        """An executor registers and gets its first task within milliseconds. Then its owner is replaced,
        before it could store that it uses this executor, and the executor's registration lapses on a
        saturated link. A successor that knows nothing of it starts the task again on another one, and a
        clerk holds two rooms.
        """

        async def body(stage: Stage) -> None:
            await stage.hand_in(JOB)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            await change_owner_while_away(stage, executor)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 1)

    def test_an_end_that_nobody_has_heard_of(self) -> None:
        """The same, but the task ends well on the executor that nobody reaches, and only then another
        executor has room. What was done is done again, and the end comes to light when it is too late.
        """

        async def body(stage: Stage) -> None:
            await stage.hand_in(JOB)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            stage.depose()
            stage.vanish(executor)
            await stage.until(lambda: bool(stage.history.ends))
            stage.add_executor("i-1")
            await trio.sleep(SOON_SECONDS)
            stage.turn_up(executor)
            await stage.until_completed(JOB)
            await trio.sleep(SOON_SECONDS)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 1)

    def test_an_executor_that_had_been_dropped_and_is_back(self) -> None:
        """The owner has given an executor up and stored that. When it is back it gets a task at once, and
        the owner goes before it could store that the executor counts again.
        """

        async def body(stage: Stage) -> None:
            await stage.hand_in(JOB, LONG_MS)
            executor = stage.add_executor("i-0")
            await stage.until(lambda: stage.history.starts == 1)
            await trio.sleep(0.2)
            stage.vanish(executor)
            await trio.sleep(FORGOTTEN_SECONDS)
            stage.turn_up(executor)
            await stage.until(lambda: stage.history.starts == 2)
            await change_owner_while_away(stage, executor, BARELY_AWAY_SECONDS)

        stage = play(body)
        self.assertEqual(stage.broken, [])
        self.assertEqual(stage.history.starts, 2)

    def test_a_write_without_an_answer_tells_a_successor_nothing(self) -> None:
        """The owner writes down that it uses an executor, and the answer doesn't come. The write may have
        been lost, so nothing may start there yet; taken for stored, the executor would run a task that no
        successor waits for.
        """

        async def body(stage: Stage) -> None:
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
    """A new owner reckons with the leases that the last one has granted."""

    def test_an_owner_that_does_not_hear_of_its_successor(self) -> None:
        """An owner's question about work gets no answer on its link, while its other calls to the store do.
        It doesn't hear that it was replaced, and renews the lease of an executor that only it reaches. Its
        successor can wait for that no longer than an owner without the store goes on; then it starts the
        task elsewhere, and it runs in two places.
        """

        async def body(stage: Stage) -> None:
            both = [stage.add_executor("i-0"), stage.add_executor("i-1")]
            await trio.sleep(SOON_SECONDS)
            await stage.hand_in(JOB, LONG_MS)
            await stage.until(lambda: stage.history.starts == 1)
            (executor,) = (one for one in both if one.running)
            await trio.sleep(SOON_SECONDS)
            last = stage.owner.name
            stage.silence_work(last)
            stage.cut(executor, *(node.name for node in stage.nodes if node.name != last))
            await trio.sleep(ASKED_SECONDS)
            stage.depose()
            await trio.sleep(UNHEARD_SECONDS)

        self.assertEqual(play(body).broken, [])

    def test_an_executor_that_is_heard_once_while_the_store_is_away(self) -> None:
        """The owner renews an executor's lease and goes. The store fails just after its successor has read,
        and links to the executor come and go: for some seconds nothing, then one list that shows the task,
        then nothing again. A successor that renews no lease without the store, and knows of no other, takes
        the executor's for over and starts the task elsewhere while it still runs.
        """

        async def body(stage: Stage) -> None:
            both = [stage.add_executor("i-0"), stage.add_executor("i-1")]
            await trio.sleep(SOON_SECONDS)
            await stage.hand_in(JOB, LONG_MS)
            await stage.until(lambda: stage.history.starts == 1)
            (executor,) = (one for one in both if one.running)
            await stage.until(lambda: executor.lease_left_ms > START_VALID_MS)
            stage.depose()
            stage.cut(executor)
            await stage.until(lambda: not stage.decided)
            await stage.until(lambda: stage.decided)
            stage.store.trouble.down = True
            await trio.sleep(ORPHANED_SECONDS)
            stage.connect(executor)
            await trio.sleep(HEARD_SECONDS)
            stage.cut(executor)
            await trio.sleep(AWAY_SECONDS)
            stage.store.trouble.down = False
            stage.connect(executor)
            await stage.until_completed(JOB)

        self.assertEqual(play(body).broken, [])
