"""Sets the pace of tasks without a CPU reservation that run next to serving tasks."""

from __future__ import annotations

from collections.abc import Iterator

from ..._ids import TaskName
from ._executors import ExecutorState
from ._interference import InterferenceModel, Sample
from ._reports import RunningRow
from ._runs import Run, RunPhase

SAMPLE_SECONDS = 0.45
"""Minimum interval between samples. Executors report values over the last half second. Samples
taken closer together repeat each other, and a pace set in between would not show in them."""
HEADROOM_TO_KEEP = 1.0
"""Headroom (target divided by tail latency) to keep at the present load: the target itself. With a
margin, tail latencies would exceed their target less often, but more of the work next to them would
end late."""
HEADROOM_RECOVERY = 0.06
"""Amount by which the remembered minimum of the headroom rises with each sample. Loads change over
about ten seconds, and a low of 1.5 below the usual headroom is remembered for that long."""
UNEXPLAINED_DEFICIT = 0.1
"""How far a serving task's headroom may lie below the headroom to keep after all known effects are
added. Beyond that, an effect has risen or is not known yet, and all work next to the task is slowed
down at once. Effects change within seconds, faster than they can be learned."""
MIN_PACE = 10
"""Lowest pace in percent, except for a pause. A run at a tenth of its pace still shows its effect
on others; a stopped one would not."""
MAX_OVER_TARGET_SECONDS = 2.0
"""When a task's tail latency has been over its target for this long, all work without a reservation
on the executor pauses, whatever is known about the pair. By then four samples have shown that the
paces chosen so far don't help. Users notice a service that stays slow after about four seconds; the
pause shows in its tail latency after one."""
BACKGROUND_PACE = 20
"""Highest pace of runs in the background, in percent. A task of two seconds takes ten and disturbs
a fifth as much; at a tenth of full pace it would hold its memory for longer than most jobs are
waited for."""
PACE_STEP = 10
"""Paces are multiples of this many percent: smaller changes aren't worth a call."""
SLOW_PACE = 20
"""Pace in percent up to which a run counts as slow: it would end sooner on another executor."""
MAX_PACE_RAISE = 60
"""How far a pace may rise at once, in percent; it may fall by any amount."""
MIN_TAIL_MS = 1.0
"""Tail latencies are reported in whole milliseconds; a value of 0 means less than one."""
MAX_HEADROOM = 6.0
"""Headroom is capped at this value: above it, tail latencies in whole milliseconds are too
coarse."""


def adjust_pace(
    executor: ExecutorState,
    rows: tuple[RunningRow, ...],
    model: InterferenceModel,
    now: float,
    learns: bool = True,
) -> Iterator[tuple[Run, int]]:
    """Update an executor's headroom from a poll, and let the model learn from it if ``learns``.

    Yields the runs whose pace has to change, with the new pace in percent.
    """
    if now - executor.sampled_at < SAMPLE_SECONDS:
        return
    executor.sampled_at = now
    room_shares = _room_shares(executor, rows)
    executor.undisturbed_headroom = {}
    samples: dict[TaskName, Sample] = {}
    for row in rows:
        run = executor.runs.get((row.task, row.attempt))
        if run is None or not run.task.spec.tail_target_ms or row.progress_percent < 100:
            continue
        image = run.task.spec.image
        headroom = run.task.spec.tail_target_ms / max(MIN_TAIL_MS, row.figure)
        headroom = min(MAX_HEADROOM, headroom)
        previous = executor.samples.get(row.task)
        sample = Sample(now, headroom, room_shares, _over_since(headroom, previous, now))
        if learns:
            model.observe(image, sample, previous)
        samples[row.task] = sample
        undisturbed = headroom + model.lost_headroom(image, room_shares)
        previous_min = executor.undisturbed_headroom.get(image, MAX_HEADROOM)
        executor.undisturbed_headroom[image] = min(previous_min, undisturbed)
    executor.samples = samples
    executor.recent_min_headroom = {
        image: min(
            headroom_now, executor.recent_min_headroom.get(image, headroom_now) + HEADROOM_RECOVERY
        )
        for image, headroom_now in executor.undisturbed_headroom.items()
    }
    executor.mark_changed()
    yield from _new_paces(executor, model, now)


def _room_shares(executor: ExecutorState, rows: tuple[RunningRow, ...]) -> dict[str, float]:
    """Return the shares of the room that non-serving tasks used, by image."""
    room_shares: dict[str, float] = {}
    room = max(1, executor.registration.room.cpu_millis)
    for row in rows:
        run = executor.runs.get((row.task, row.attempt))
        if run is not None and not run.task.spec.tail_target_ms and row.figure:
            image = run.task.spec.image
            room_shares[image] = room_shares.get(image, 0.0) + row.figure / room
    return room_shares


def _over_since(headroom: float, previous: Sample | None, now: float) -> float | None:
    if headroom >= 1.0:
        return None
    return now if previous is None or previous.over_since is None else previous.over_since


def _new_paces(
    executor: ExecutorState, model: InterferenceModel, now: float
) -> Iterator[tuple[Run, int]]:
    best_effort = [
        run
        for run in executor.runs.values()
        if run.task.spec.uses_leftover_cpu and run.phase is RunPhase.RUNNING
    ]
    is_over_target = any(
        sample.over_since is not None and now - sample.over_since >= MAX_OVER_TARGET_SECONDS
        for sample in executor.samples.values()
    )
    paces = _allowed_paces(executor, best_effort, model)
    for run in best_effort:
        wanted = min(paces[run.task.spec.image], run.pace_percent + MAX_PACE_RAISE)
        if run.in_background:
            wanted = min(wanted, BACKGROUND_PACE)
        is_paused = is_over_target or run.paused_until > now
        if 0.0 < run.paused_until <= now:
            # Without progress during the pause, the run would be taken for stalled.
            run.paused_until, run.progress_at = 0.0, now
        pace = 0 if is_paused else max(MIN_PACE, wanted // PACE_STEP * PACE_STEP)
        if pace > SLOW_PACE:
            run.slow_since = None
        elif run.slow_since is None:
            run.slow_since = now
        if pace != run.pace_percent or not run.pace_confirmed:
            run.pace_percent = pace
            run.lowest_pace = min(run.lowest_pace, pace)
            run.pace_confirmed = True
            yield run, pace


def _allowed_paces(
    executor: ExecutorState, best_effort: list[Run], model: InterferenceModel
) -> dict[str, int]:
    """Return, by image, the pace in percent at which every serving task keeps its headroom.

    Where a serving task would lose too much, the image with the largest effect on it is slowed down
    first.
    """
    demand = executor.disturbing_shares()
    paces = {run.task.spec.image: 100 for run in best_effort}
    for serving, undisturbed in executor.undisturbed_headroom.items():
        if undisturbed < HEADROOM_TO_KEEP - UNEXPLAINED_DEFICIT:
            return dict.fromkeys(paces, MIN_PACE)
        lost = {image: model.effect(serving, image) * use for image, use in demand.items()}
        excess = sum(loss * paces.get(image, 100) / 100 for image, loss in lost.items()) - (
            undisturbed - HEADROOM_TO_KEEP
        )
        for image in sorted(paces, key=lambda image_name: -model.effect(serving, image_name)):
            if excess <= 0:
                break
            loss = lost.get(image, 0.0)
            if loss <= 0:
                continue
            given_up = loss * paces[image] / 100
            kept_loss = max(0.0, given_up - excess)
            paces[image] = max(MIN_PACE, int(100 * kept_loss / loss))
            excess -= given_up - loss * paces[image] / 100
    return paces
