"""One queue floods the service while another has its usual demand."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ... import Run, StoredFormatError, decode_learned, decode_shares, encode_learned
from ..._runs import Task
from ...tests.builders_jobs import START, learned, step
from .._shares import HALF_LIFE_SECONDS, FairShares
from .builders_shares import FAIR, FairOwner, small


def _seconds(owner: FairOwner, seconds: float, flood: int, runs: list[Run]) -> Counter[str]:
    """Play a while in which ``a`` floods and ``b`` sends a job a second; return starts by queue."""
    started: Counter[str] = Counter()
    for number in range(int(seconds * 10)):
        for _ in range(flood):
            owner.submit("a", small())
        if number % 10 == 0:
            owner.submit("b", small())
        owner.tick(0.1)
        runs[:] = owner.finish_due(runs)
        for run in owner.place():
            started[str(run.task.job.spec.queue)] += 1
            runs.append(run)
    return started


class FloodTest(unittest.TestCase):
    """Shares of queues while there is too little room."""

    def test_a_flooding_queue_does_not_delay_another_one(self) -> None:
        """Guards against callers who wait behind the whole backlog of another queue."""
        for enabled in (True, False):
            owner = FairOwner("i-0", "i-1", settings=replace(FAIR, enabled=enabled))
            _seconds(owner, 10.0, 3, [])
            waiting = Counter(str(task.job.spec.queue) for task in owner.scheduler._state.waiting)
            self.assertGreater(waiting["a"], 100)
            self.assertEqual(waiting["b"] <= 1, enabled)

    def test_two_flooding_queues_get_equal_room(self) -> None:
        """Guards against a queue that gets more room because its jobs are smaller."""
        owner, started, runs = FairOwner("i-0", "i-1"), Counter[str](), list[Run]()
        for _ in range(200):
            owner.submit("a", small(estimate_ms=1000))
            owner.submit("b", small(estimate_ms=1010))
            owner.tick(0.1)
            runs = owner.finish_due(runs)
            for run in owner.place():
                started[str(run.task.job.spec.queue)] += 1
                runs.append(run)
        self.assertAlmostEqual(started["a"] / started.total(), 0.5, delta=0.08)

    def test_weights_divide_the_room(self) -> None:
        """Guards against weights that operators give and that change nothing."""
        owner = FairOwner("i-0", "i-1", settings=replace(FAIR, weights={"a": 3.0}))
        started, runs = Counter[str](), list[Run]()
        for _ in range(200):
            for name in "ab":
                owner.submit(name, small())
            owner.tick(0.1)
            runs = owner.finish_due(runs)
            for run in owner.place():
                started[str(run.task.job.spec.queue)] += 1
                runs.append(run)
        self.assertAlmostEqual(started["a"] / started.total(), 0.75, delta=0.1)

    def test_lent_room_comes_back_with_the_next_ends(self) -> None:
        """Guards against a queue that returns and finds its room kept by another one."""
        owner, runs = FairOwner("i-0", "i-1"), list[Run]()
        self.assertEqual(len(owner.place()), 0)
        for _ in range(30):
            owner.submit("a", small())
        owner.tick(0.1)
        runs = owner.place()
        self.assertEqual(len(runs), 8)
        for _ in range(8):
            owner.submit("b", small(estimate_ms=1500))
        for _ in range(11):
            owner.tick(0.1)
            runs = owner.finish_due(runs)
            runs += owner.place()
        started = Counter(str(run.task.job.spec.queue) for run in runs)
        self.assertGreaterEqual(started["b"], 4)

    def test_the_more_urgent_priority_goes_first(self) -> None:
        """Guards against shares that reverse the order of priorities."""
        owner = FairOwner("i-0", priorities=(0, 1))
        for _ in range(20):
            owner.submit("a", small())
        owner.submit("b", small())
        queues = {str(run.task.job.spec.queue) for run in owner.place()}
        self.assertEqual(queues, {"a"})


class SuccessorTest(unittest.TestCase):
    """What a new owner knows of the shares."""

    def test_use_survives_a_change_of_owner(self) -> None:
        """Guards against a flooding queue that is forgiven by each change of owner."""
        owner, runs = FairOwner("i-0", "i-1"), list[Run]()
        _seconds(owner, 5.0, 3, runs)
        stored = encode_learned((learned("web", 1.0),), owner.scheduler.shares())
        successor = FairOwner("i-0")
        successor.scheduler.adopt_shares(decode_shares(stored), successor.now)
        uses = dict(successor.policy._shares.recent_uses(START))
        self.assertGreater(uses["a"], 2 * uses["b"])  # type: ignore[index]
        self.assertEqual(decode_learned(stored), (learned("web", 1.0),))

    def test_values_of_builds_without_shares_and_bad_ones(self) -> None:
        """Guards against a build that can't take over from an older or newer one."""
        shares = FairOwner().scheduler.shares()
        self.assertEqual(shares, ())
        self.assertEqual(decode_shares(encode_learned((learned("web", 1.0),))), ())
        owner = FairOwner("i-0")
        owner.submit("a", small())
        owner.place()
        without_fits = encode_learned((), owner.scheduler.shares())
        self.assertEqual(decode_learned(without_fits), ())
        self.assertEqual(len(decode_shares(without_fits)), 1)
        with self.assertRaises(StoredFormatError):
            decode_shares(b"\x91\x81\xa6shares\x01")


class SharesTest(unittest.TestCase):
    """The accounting of shares under any order of starts and ends."""

    @given(
        st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 4), st.floats(0, 3)), max_size=40)
    )
    def test_use_is_never_negative_and_lent_room_is_forgotten(
        self, events: list[tuple[str, int, float]]
    ) -> None:
        """Guards against credit that is saved up and debts that never end."""
        owner = FairOwner("i-0", "i-1")
        tasks: dict[str, Task] = {}
        for name in "ab":
            spec = owner.submit(name, step(cpu_millis=8000))
            (tasks[name],) = owner.scheduler.jobs._jobs[spec.job].tasks.values()
        templates = {run.task.job.spec.queue: run for run in owner.place()}
        shares, now = FairShares({}), START
        shares.resize(32000, 128000)
        running: list[Run] = []
        for name, kind, seconds in events:
            now += seconds
            if kind < 3 and len(running) < 4:
                template = templates[tasks[name].job.spec.queue]
                running.append(
                    Run(tasks[name], template.attempt, template.executor, template.phase, now)
                )
                shares.run_started(running[-1], now)
            elif running:
                shares.run_removed(running.pop(0), now)
            for task in tasks.values():
                use = shares.use(task.job.spec.queue, now)  # type: ignore[arg-type]
                self.assertGreaterEqual(use, 0.0)
                self.assertLessEqual(use, 1.0 + 1e-9)
        for run in running:
            shares.run_removed(run, now)
        later = now + 8 * HALF_LIFE_SECONDS
        for share, recent in shares.recent_uses(later):
            self.assertLess(recent, 0.005, share)
