"""Limits of a single job.

A job of a hundred bytes may describe millions of tasks. Whoever accepts or recovers a job checks
these limits first, so that no job can use up the memory or the time of its service's owner.
"""

from __future__ import annotations

from collections.abc import Iterator

from ._specs import JobSpec, StepSpec

MAX_STEPS = 100
MAX_TASKS = 5_000
"""Maximum number of tasks in one occurrence of a job."""
MAX_OPEN_TASKS = 50_000
"""Number of tasks of all jobs of a service above which further large jobs wait as a whole, without
a record for each of their tasks. The records take about 1 KB each."""
MAX_OPEN_OCCURRENCES = 250
"""Number of occurrences of a job that may be open at the same time. Each is opened and sorted by
itself."""
SMALL_JOB_TASKS = 256
"""Number of open tasks up to which a job doesn't wait for others to be over. Otherwise a few large
jobs that can't be placed would keep all others from running."""
MAX_EARLY_WINDOWS = 4
"""Reports of an executor open occurrences for up to this many windows of ``open_occurrences``: an
earlier owner may have come further than its last stored progress shows."""
MAX_GANG_TASKS = 1_000
"""Maximum number of tasks in a gang. Each change of a member looks at all members."""
MAX_PAYLOAD_BYTES = 16_384
"""Maximum size of the payload, which is sent with each start of a task."""
MAX_NAME_LENGTH = 256
"""Maximum number of characters of a label, a rack or an image."""
MAX_QUANTITY = 2**31 - 1
"""Maximum of a resource, a limit or a number of occurrences."""
MAX_DURATION_MS = 366 * 24 * 3600 * 1000
"""Maximum of an estimate or an interval, in milliseconds: a year."""
MAX_TIME_MS = 2**48
"""Latest due time, in Unix milliseconds: more than eight thousand years."""


def open_occurrences(spec: JobSpec) -> int:
    """Return how many occurrences of a job may be open at the same time."""
    return max(1, min(MAX_OPEN_OCCURRENCES, MAX_TASKS // max(1, spec.task_count)))


def job_problem(spec: JobSpec) -> str:
    """Return which limit a job exceeds, in words for its caller; empty if it is valid."""
    return next(_problems(spec), "")


def _problems(spec: JobSpec) -> Iterator[str]:
    if not spec.steps:
        yield "the job has no steps"
    if len(spec.steps) > MAX_STEPS:
        yield f"the job has {len(spec.steps)} steps; at most {MAX_STEPS} are allowed"
    payload_bytes = len(spec.payload.encode("utf-8", "replace"))
    if payload_bytes > MAX_PAYLOAD_BYTES:
        yield f"the job's text has {payload_bytes} bytes; at most {MAX_PAYLOAD_BYTES} are allowed"
    if not 0 <= spec.repetitions <= MAX_QUANTITY:
        yield f"the number of repetitions must be between 0 and {MAX_QUANTITY}"
    if not 0 <= spec.interval_ms <= MAX_DURATION_MS:
        yield f"the interval must be between 0 and {MAX_DURATION_MS} ms"
    if not 0 <= spec.first_due_ms <= MAX_TIME_MS:
        yield f"the time of the first occurrence must be between 0 and {MAX_TIME_MS} ms"
    for number, step in enumerate(spec.steps):
        yield from (f"step {number} {problem}" for problem in _step_problems(number, step))
    if spec.task_count > MAX_TASKS:
        yield f"the job has {spec.task_count} tasks; at most {MAX_TASKS} are allowed"


def _step_problems(number: int, step: StepSpec) -> Iterator[str]:
    if step.count < 1:
        yield "has no tasks"
    if step.count > MAX_TASKS:
        yield f"has {step.count} tasks; at most {MAX_TASKS} are allowed"
    if step.gang and step.count > MAX_GANG_TASKS:
        yield f"is a gang of {step.count} tasks; at most {MAX_GANG_TASKS} are allowed"
    sizes = (step.cpu_millis, step.memory_mb, step.accelerators, step.estimate_ms)
    limits = (step.per_executor_limit, step.tail_target_ms, step.unavailable_budget)
    if min(sizes) < 0:
        yield "has a negative size"
    if min(limits) < 0:
        yield "has a negative limit"
    if max(*sizes[:3], *limits) > MAX_QUANTITY:
        yield f"has a size or limit above {MAX_QUANTITY}"
    if step.estimate_ms > MAX_DURATION_MS:
        yield f"has an estimate above {MAX_DURATION_MS} ms"
    if any(not 0 <= earlier < number for earlier in step.after):
        yield "comes after a step that is not an earlier one"
    if len(step.after) > MAX_STEPS:
        yield f"comes after more than {MAX_STEPS} steps"
    names = (step.required_label, step.data_rack, step.image)
    if max(map(len, names)) > MAX_NAME_LENGTH:
        yield f"has a label, rack or image of more than {MAX_NAME_LENGTH} characters"
