"""Learning which images disturb which, and the effect on placement and pace."""

import unittest
from dataclasses import replace
from math import inf, nan
from random import Random
from unittest.mock import patch

from ...._ids import AttemptNumber
from .. import (
    CallOutcome,
    EndReason,
    LearnedFit,
    OrderAnswer,
    PaceRun,
    Run,
    RunningRow,
    RunPhase,
    StoredFormatError,
    _interference,
    decode_learned,
    encode_learned,
)
from .._interference import (
    MAX_IMAGES,
    MAX_SERVING_IMAGES,
    PRIOR_EFFECT,
    PRIOR_WEIGHT,
    SOLVE_SECONDS,
    InterferenceModel,
    Sample,
)
from .._pacing import BACKGROUND_PACE, HEADROOM_TO_KEEP, MIN_PACE, adjust_pace
from .._placement_costs import choose
from .builders_jobs import START_MS, OwnerUnderTest, job, learned, row, step

HEAVY, LIGHT = 5.0, 0.5


def _trained(seed: int = 1) -> InterferenceModel:
    """Return a model after five minutes of polls, with one heavy and one light image."""
    random, model = Random(seed), InterferenceModel()
    before: Sample | None = None
    for number in range(600):
        uses = {"noisy": random.uniform(0, 0.3), "quiet": random.uniform(0, 0.3)}
        load = random.gauss(0.0, 0.4)
        headroom = 2.4 + load - HEAVY * uses["noisy"] - LIGHT * uses["quiet"]
        sample = Sample(number * 0.5, headroom, uses)
        model.observe("web", sample, before)
        before = sample
    return model


class InterferenceModelTest(unittest.TestCase):
    """The fit of the effects."""

    def test_effects_are_learned_under_varying_load(self) -> None:
        model = _trained()
        self.assertAlmostEqual(model.effect("web", "noisy"), HEAVY, delta=0.8)
        self.assertAlmostEqual(model.effect("web", "quiet"), LIGHT, delta=0.5)

    def test_the_number_of_images_that_are_told_apart_is_bounded(self) -> None:
        """Guards against callers who name a new image for each job, until a solution takes seconds."""
        model = InterferenceModel()
        for number in range(4 * MAX_IMAGES):
            sample = Sample(number * 0.5, 2.0, {f"image-{number}": 0.1})
            model.observe("web", sample, None)
            model.observe(f"web-{number}", sample, None)
        learned_fits = model.learned()
        self.assertLessEqual(len(learned_fits), MAX_SERVING_IMAGES)
        self.assertLessEqual(max(len(fit.names) for fit in learned_fits), MAX_IMAGES + 1)
        self.assertEqual(decode_learned(encode_learned(learned_fits)), learned_fits)

    def test_stored_sums_without_a_solution_are_refused(self) -> None:
        """Guards against sums of another writer that end each owner that adopts them."""
        good = learned("web", 2.0)
        self.assertEqual(decode_learned(encode_learned((good,))), (good,))
        for products in ((nan, 0.0, 1.0), (inf, 0.0, 1.0), (-PRIOR_WEIGHT, 0.0, 0.0)):
            with self.subTest(products=products), self.assertRaises(StoredFormatError):
                decode_learned(encode_learned((replace(good, products=products),)))

    def test_an_unobserved_pair_has_the_average_effect(self) -> None:
        self.assertEqual(_trained().effect("web", "new"), PRIOR_EFFECT)
        self.assertEqual(InterferenceModel().effect("web", "noisy"), PRIOR_EFFECT)

    def test_solutions_dont_come_faster_with_more_executors(self) -> None:
        """Guards against an owner of hundreds of executors that spends its time on learning."""
        model = InterferenceModel()
        with patch.object(_interference, "_solution", wraps=_interference._solution) as solved:
            for number in range(4000):
                model.observe("web", Sample(number / 400, 2.0, {"noisy": number % 4 * 0.1}), None)
        self.assertLessEqual(solved.call_count, 10 / SOLVE_SECONDS + 1)

    def test_learned_effects_are_never_negative(self) -> None:
        model = InterferenceModel()
        for number in range(100):
            uses = {"odd": number % 2 * 0.3}
            model.observe("web", Sample(number * 0.5, 2.0 + uses["odd"], uses), None)
        self.assertEqual(model.effect("web", "odd"), 0.0)

    def test_recent_samples_outweigh_old_samples(self) -> None:
        """Guards against a model that never forgets: effects change, and callers wait meanwhile."""
        model = InterferenceModel()
        for number in range(6000):
            uses = {"other": number % 2 * 0.2}
            effect = 0.5 if number < 3000 else 5.0
            model.observe("web", Sample(number * 0.5, 2.0 - effect * uses["other"], uses), None)
        # The newer half of the samples weighs two thirds: 0.5 / 3 + 5 * 2 / 3.
        self.assertAlmostEqual(model.effect("web", "other"), 3.5, delta=0.2)

    def test_the_next_owner_uses_the_learned_effects(self) -> None:
        """Guards against a successor that assumes every pair of images to be average.

        It placed work next to the services that it slows down most, so callers waited for some
        seconds after each change of owner.
        """
        before, after = _trained(), InterferenceModel()
        after.adopt(decode_learned(encode_learned(before.learned())))
        self.assertAlmostEqual(
            after.effect("web", "noisy"), before.effect("web", "noisy"), delta=0.1
        )
        self.assertAlmostEqual(
            after.effect("web", "quiet"), before.effect("web", "quiet"), delta=0.1
        )
        # The adopted fit keeps its weight, so a few unusual samples don't reverse it.
        for _ in range(20):
            after.observe("web", Sample(0.0, 2.0, {"noisy": 0.2}), None)
        self.assertGreater(after.effect("web", "noisy"), HEAVY - 1.5)

    def test_incomplete_learned_fits_are_rejected(self) -> None:
        """Guards against decoding incomplete values that another version of the program wrote.

        Otherwise the new owner would fail at each recovery, and no job would start any more.
        """
        for fit in (
            LearnedFit("web", ("a", "b"), (1.0,), (1.0, 2.0)),
            LearnedFit("w", ("a",), (1.0,), ()),
        ):
            with self.assertRaises(StoredFormatError):
                decode_learned(encode_learned((fit,)))


class InterferencePlacementTest(unittest.TestCase):
    """Where work without a reservation is placed."""

    def test_work_goes_where_it_disturbs_no_service(self) -> None:
        """Guards against placing work next to a service that it disturbs while its load is low.

        Of two executors, one serves an image that the work does not disturb. Users of the other one
        would wait when its load rises again.
        """
        model = _trained()
        owner = OwnerUnderTest("i-0", "i-1")
        owner.executor("i-0").recent_min_headroom = {"web": 1.8}
        owner.executor("i-1").recent_min_headroom = {"desk": 1.8}
        for _ in range(200):
            model.observe("desk", Sample(0.0, 2.0, {"noisy": 0.2}), None)
            model.observe("desk", Sample(0.0, 2.0, {}), None)
        best_effort = step(uses_leftover_cpu=True, image="noisy", cpu_millis=2000)
        owner.scheduler.accept(job("00000000000000aa", best_effort), START_MS)
        task = next(owner.scheduler.jobs.live_tasks())
        chosen = choose(task, owner.scheduler.executors.values(), model, 2.0)
        assert chosen is not None
        self.assertEqual(chosen.executor, "i-1")

    def test_work_waits_if_it_would_slow_all_services(self) -> None:
        """Guards against starting many large jobs at once, which share the leftover CPU and all end
        late.

        Run one after the other, the first ones end in time.
        """
        owner = OwnerUnderTest("i-0")
        best_effort = step(count=30, uses_leftover_cpu=True, cpu_millis=2000)
        owner.scheduler.accept(job("00000000000000aa", best_effort), START_MS)
        started = len(owner.place())
        self.assertGreater(started, 8)
        self.assertLess(started, 30)
        self.assertEqual(owner.scheduler.waiting_tasks, 30 - started)

    def test_an_executor_whose_services_have_left_takes_work_again(self) -> None:
        """Guards against an executor that stays closed for work after its services have left.

        The last service on an executor is cancelled while its tail latency is high. Idle executors
        are not polled, so the last values seen kept other work away permanently, and jobs that
        could have run never ended.
        """
        owner = OwnerUnderTest("i-0")
        serving = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = owner.place()
        owner.now += 1.0
        owner.poll("i-0", row(web, 100, 90.0))
        best_effort = step(uses_leftover_cpu=True, image="noisy", cpu_millis=8000)
        owner.scheduler.accept(job("00000000000000bb", best_effort), START_MS)
        self.assertEqual(owner.place(), [])
        owner.scheduler.cancel(web.task.job.spec.job, owner.now, START_MS)
        owner.stops()
        owner.end("i-0", web.task.name, 1, EndReason.STOPPED)
        owner.poll("i-0")
        owner.tick(0.1)
        self.assertEqual(len(owner.place()), 1)

    def test_work_does_not_wait_forever_for_a_better_executor(self) -> None:
        """Guards against a job that waits forever because every executor serves an image it
        disturbs.

        An accepted job has to end, so after some seconds it starts where it does the least harm,
        and is paced there.
        """
        owner = OwnerUnderTest("i-0")
        serving = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = owner.place()
        best_effort = step(uses_leftover_cpu=True, image="noisy", cpu_millis=8000)
        owner.scheduler.accept(job("00000000000000bb", best_effort), START_MS)
        started = 0
        for _ in range(30):
            owner.now += 1.0
            owner.poll("i-0", row(web, 100, 15.0))
            owner.tick(0.1)
            started += len(owner.place())
        self.assertEqual(started, 1)

    def test_long_running_tasks_leave_room_for_short_tasks(self) -> None:
        """Guards against long-running tasks that reserve every processor.

        A short task that needs a few cores for half a second would find no executor for as long as
        they run.
        """
        owner = OwnerUnderTest("i-0")
        long_running_step = step(count=40, long_running=True, cpu_millis=500, memory_mb=10)
        owner.scheduler.accept(job("00000000000000aa", long_running_step), START_MS)
        owner.place()
        owner.scheduler.accept(job("00000000000000bb", step(cpu_millis=1500)), START_MS)
        self.assertEqual([run.task.name for run in owner.place()], ["00000000000000bb.0.0.0"])


class PacingTest(unittest.TestCase):
    """The pace of work without a reservation."""

    def _paces_at_latency(self, tail_ms: float, model: InterferenceModel) -> list[tuple[Run, int]]:
        owner = OwnerUnderTest("i-0")
        serving = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = owner.place()
        best_effort = step(count=2, uses_leftover_cpu=True, image="noisy", cpu_millis=3000)
        owner.scheduler.accept(job("00000000000000bb", best_effort), START_MS)
        noisy = owner.place()
        assert all(run.phase is RunPhase.RUNNING for run in noisy)
        rows = (row(web, 100, tail_ms), *(row(run, 20, 3000.0) for run in noisy))
        return list(adjust_pace(owner.executor(), rows, model, owner.now + 1.0))

    def test_latency_over_target_slows_work_on_the_executor(self) -> None:
        paces = self._paces_at_latency(40.0, _trained())
        self.assertEqual(len(paces), 2)
        for _, percent in paces:
            headroom = 18 / 40 + HEAVY * 6 / 16 * (1 - percent / 100)
            self.assertGreaterEqual(headroom, HEADROOM_TO_KEEP - 0.1)
            self.assertGreaterEqual(percent, MIN_PACE)

    def test_latency_that_stays_over_target_pauses_work_on_the_executor(self) -> None:
        """Guards against a service that stays slow because the learned effect or the pace is wrong.

        The work next to it pauses when its tail latency has been over the target for some seconds.
        """
        owner = OwnerUnderTest("i-0")
        serving = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = owner.place()
        owner.scheduler.accept(job("00000000000000bb", step(uses_leftover_cpu=True)), START_MS)
        (best_effort,) = owner.place()
        harmless = InterferenceModel()
        for _ in range(200):
            harmless.observe("web", Sample(0.0, 0.9, {"": 0.1}), None)
            harmless.observe("web", Sample(0.0, 0.9, {}), None)
        for _ in range(5):
            owner.now += 0.5
            rows = (row(web, 100, 20.0), row(best_effort, 20, 1000.0))
            list(adjust_pace(owner.executor(), rows, harmless, owner.now))
        self.assertEqual(best_effort.pace_percent, 0)
        owner.now += 0.5
        calm = (row(web, 100, 5.0), row(best_effort, 20, 0.0))
        list(adjust_pace(owner.executor(), calm, harmless, owner.now))
        self.assertGreater(best_effort.pace_percent, 0)

    def test_latency_within_target_leaves_work_at_full_pace(self) -> None:
        self.assertEqual(self._paces_at_latency(5.0, InterferenceModel()), [])

    def test_an_unconfirmed_pace_is_ordered_again(self) -> None:
        """Guards against a job that stays slow after a change of owner or a lost pace answer.

        An owner that assumes full pace never orders it again, and the job stays slow.
        """
        for name in ("found", "lost answer"):
            with self.subTest(name):
                owner = OwnerUnderTest("i-0")
                best_effort = step(uses_leftover_cpu=True, image="quiet", cpu_millis=1000)
                serving = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
                owner.scheduler.accept(job("00000000000000aa", best_effort, serving), START_MS)
                if name == "found":
                    tasks = {task.key.step: task for task in owner.scheduler.jobs.live_tasks()}
                    rows = [
                        RunningRow(tasks[0].name, AttemptNumber(1), "", 10, 1000.0),
                        RunningRow(tasks[1].name, AttemptNumber(1), "", 100, 3.0),
                    ]
                else:
                    slow, web = sorted(owner.place(), key=lambda run: run.task.key)
                    owner.scheduler.pace_answered(slow, OrderAnswer(CallOutcome.UNKNOWN, None))
                    rows = [row(slow, 10, 1000.0), row(web, 100, 3.0)]
                owner.now += 1.0
                owner.poll("i-0", *rows)
                orders = owner.scheduler.take_commands()
                self.assertEqual(
                    [command.percent for command in orders if isinstance(command, PaceRun)], [100]
                )
                owner.now += 1.0
                owner.poll("i-0", *rows)
                self.assertEqual(owner.scheduler.take_commands(), [])

    def test_an_effect_that_is_not_known_yet_slows_all_work_at_once(self) -> None:
        """Guards against services over their targets until an effect has been learned.

        Pattern of the load: pairs of images that don't disturb each other for ten seconds, and then
        do for two.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.adopt((learned("web", 0.0),))
        serving = step(long_running=True, image="web", tail_target_ms=300)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = owner.place()
        filling = step(uses_leftover_cpu=True, image="noisy", cpu_millis=1000)
        owner.scheduler.accept(job("00000000000000bb", filling), START_MS)
        (noisy,) = owner.place()
        owner.now += 1.0
        owner.poll("i-0", row(web, 100, 150.0), row(noisy, 20, 1000.0))
        self.assertEqual(owner.paces(), [])
        owner.now += 0.5
        owner.poll("i-0", row(web, 100, 600.0), row(noisy, 30, 1000.0))
        self.assertEqual(owner.paces(), [(noisy.task.name, MIN_PACE)])

    def test_useless_work_runs_in_the_background(self) -> None:
        """Guards against useless jobs that slow down services.

        After a backlog, some jobs have taken three times what their objective allows but still have
        to end. Started at full pace on any executor, they kept services over their targets for ten
        seconds.
        """
        owner = OwnerUnderTest("i-0")
        best_effort = step(uses_leftover_cpu=True, image="quiet", cpu_millis=1000)
        late, fresh = job("00000000000000aa", best_effort), job("00000000000000bb", best_effort)
        owner.now += 60.0
        now_ms = START_MS + owner.clock()
        owner.scheduler.accept(late, now_ms)
        owner.scheduler.accept(replace(fresh, accepted_ms=now_ms), now_ms)
        owner.poll("i-0")
        slow, full = sorted(owner.place(), key=lambda run: run.task.name)
        self.assertEqual(owner.paces(), [(slow.task.name, BACKGROUND_PACE)])
        for _ in range(4):
            owner.now += 1.0
            owner.poll("i-0", row(slow, 10, 200.0), row(full, 10, 1000.0))
        self.assertEqual(owner.paces(), [])
