"""Decodes the bodies of job requests and encodes the bodies of answers."""

from __future__ import annotations

import math
import re

import msgspec

from .._decoding import Integer, decode_json
from .._errors import BadRequestError, InvalidDataError
from .._ids import JobId
from ..adapters import RequestHead
from ..decisions.jobs import JobSpec, JobState, QueueConfiguration, StepSpec, job_problem
from ._names import CALLER_DEADLINE_HEADER

_JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_DEADLINE_DIGITS = 15
"""Digits of the longest deadline that is read; no caller waits for longer."""

_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class _Step(msgspec.Struct):
    count: Integer
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0
    estimate_ms: Integer = 0
    after: list[Integer] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    affinity: str = ""
    anti_affinity: Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Integer = 0
    fills: bool = False
    may_miss: Integer = 0


class _Job(msgspec.Struct):
    steps: list[_Step]
    spec: str = ""
    repetitions: Integer = 0
    initial_delay_ms: Integer = 0
    interval_ms: Integer = 0


def caller_timeout(head: RequestHead) -> float:
    """Return how many seconds the caller waits for an answer; infinite if it doesn't tell."""
    text = head.header(CALLER_DEADLINE_HEADER) or ""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    return int(text) / 1000 if is_number else math.inf


def parse_job_id(text: str) -> JobId | None:
    """Return the job id in ``text``, the last part of a path, or None if it isn't a valid one."""
    return JobId(text) if _JOB_ID.fullmatch(text) else None


def decode_job(body: bytes, job: JobId, queue: QueueConfiguration, now_ms: int) -> JobSpec:
    """Decode a submitted job and give it the id ``job``. Raises BadRequestError if it is invalid."""
    try:
        request = decode_json(body, _Job)
    except InvalidDataError as error:
        raise BadRequestError(f"the job can't be read: {error}") from error
    spec = JobSpec(
        job=job,
        queue=queue.name,
        service=queue.service,
        payload=request.spec,
        steps=tuple(map(_step, request.steps)),
        accepted_ms=now_ms,
        repetitions=request.repetitions,
        first_due_ms=request.initial_delay_ms,
        interval_ms=request.interval_ms,
        queue_terms=queue.terms,
    )
    problem = job_problem(spec)
    if problem:
        raise BadRequestError(problem)
    return spec


def encode_state(state: JobState) -> bytes:
    """Encode the answer with a job's state."""
    return msgspec.json.encode({"state": _STATE_NAMES[state]})


def encode_pending(pending: int) -> bytes:
    """Encode the answer with the number of jobs in a queue that wait for their first start."""
    return msgspec.json.encode({"pending": pending})


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimate_ms=step.estimate_ms,
        after=tuple(dict.fromkeys(step.after)),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.affinity,
        per_executor_limit=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_target_ms=step.target_ms,
        uses_leftover_cpu=step.fills,
        unavailable_budget=step.may_miss,
    )
