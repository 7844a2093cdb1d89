"""Callers of the scheduler over HTTP, which submit jobs with retries and poll their states."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from fireflyfork._ids import JobId, QueueName
from fireflyfork._links import Address
from fireflyfork.adapters import Header, HttpClient, HttpError
from fireflyfork.decisions.jobs import JobSpec, StepSpec

from ._history import History
from ._wire_platform import QUEUE_HOST, QUEUE_PREFIX, SERVICE

CALL_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.1
STATE_POLL_SECONDS = 0.05
EARLY_CANCEL_SHARE = 0.08
_HOST: Header = (b"host", QUEUE_HOST.encode("ascii"))


class WireCallers:
    """All callers of one simulation."""

    def __init__(
        self,
        instances: tuple[Address, ...],
        history: History,
        random: Random,
        keep_connections: bool = False,
        reduced: Callable[[StepSpec], StepSpec] = lambda step: step,
        labelled: Callable[[StepSpec, str], StepSpec] = lambda step, _: step,
        early_cancels: Random | None = None,
    ) -> None:
        """Call the scheduler at ``instances``. Each job is added to ``history`` before submission.

        With ``keep_connections`` callers use open connections until the instance closes them.
        ``reduced`` returns what is left of each step that was drawn, ``labelled`` a step that may
        require a label, by the name of the step. With ``early_cancels`` some
        callers, drawn from it, cancel their jobs before they have an answer.
        """
        self._early_cancels = early_cancels
        self._reduced = reduced
        self._labelled = labelled
        self._kept = {each: HttpClient(each, CALL_TIMEOUT_SECONDS) for each in instances}
        self._keep_connections = keep_connections
        self.tries: Counter[str] = Counter()
        """Number of submission attempts by HTTP status or error."""
        self.states: Counter[str] = Counter()
        """Number of jobs by the final state that was reported to their callers."""
        self.seconds = HdrHistogram(1, 600_000, 3)
        """Time from the first submission attempt of a job until its caller reads a final state, in
        milliseconds."""
        self._fronts = instances
        self._history = history
        self._random = random

    async def run(self, jobs: int, per_second: float) -> None:
        """Submit ``jobs`` jobs at a mean rate of ``per_second``, and wait until all have ended."""
        async with trio.open_nursery() as nursery:
            for number in range(1, jobs + 1):
                nursery.start_soon(self._caller, JobId(f"{number:016x}"))
                await trio.sleep(self._random.expovariate(per_second))

    async def _caller(self, name: JobId) -> None:
        spec = self._draw_job(name)
        self._history.jobs[name] = spec
        begun = trio.current_time()
        early = self._early_cancels
        cancels_early = early is not None and early.random() < EARLY_CANCEL_SHARE
        async with trio.open_nursery() as nursery:
            if cancels_early:
                nursery.start_soon(self._cancel_early, name)
            is_accepted = await self._submit(name, _body(spec))
        if not is_accepted:
            self.states["barred"] += 1
            return
        self._history.acknowledged[name] = trio.current_time()
        cancels = cancels_early or self._random.random() < 0.1
        if cancels:
            while await self._call("DELETE", name) != 200:
                await trio.sleep(RETRY_SECONDS)
            self._history.cancelled[name] = trio.current_time()
        while (state := await self._state(name)) not in ("completed", "failed", "cancelled"):
            await trio.sleep(STATE_POLL_SECONDS)
        self.states[state] += 1
        self.seconds.record_value(int((trio.current_time() - begun) * 1000))
        done = len(self._history.done_tasks(name))
        if state == "completed" and done != spec.task_count:
            self._history.record_violation(
                "completed", f"{name}: {done} of {spec.task_count} tasks"
            )
        if state == "cancelled" and not cancels:
            self._history.record_violation("cancelled", f"{name} was not cancelled by its caller")

    async def _submit(self, name: JobId, body: bytes) -> bool:
        """Submit a job until it is accepted, or gone because it was cancelled."""
        while (status := await self._call("POST", name, body)) != 200:
            if status == 410:
                if name not in self._history.cancelling:
                    self._history.record_violation("cancelled", f"{name} was not cancelled")
                return False
            await trio.sleep(RETRY_SECONDS)
        if name in self._history.barred:
            self._history.record_violation("cancelled", f"{name} is accepted, and didn't exist")
        return True

    async def _cancel_early(self, name: JobId) -> None:
        """Cancel a job that may not have been accepted; 410 bars it as 200 does."""
        assert self._early_cancels is not None
        await trio.sleep(self._early_cancels.uniform(0.0, 0.3))
        self._history.cancelling.add(name)
        status = await self._call("DELETE", name)
        if status in (200, 410):
            self._history.cancelled[name] = trio.current_time()
        if status == 410:
            self._history.barred.add(name)

    async def _call(self, method: str, name: JobId, body: bytes = b"") -> int:
        status, _ = await self._answered(method, name, body)
        if method == "POST":
            self.tries[str(status) if status else "no answer"] += 1
        return status

    async def _state(self, name: JobId) -> str:
        status, body = await self._answered("GET", name, b"")
        if status == 410:
            self._history.record_violation("kept", f"{name} is not known any more")
            return "failed"
        return str(msgspec.json.decode(body)["state"]) if status == 200 else ""

    async def _answered(self, method: str, name: JobId, body: bytes) -> tuple[int, bytes]:
        """Send a request to a random instance. Return status and body, status 0 without an answer."""
        front = self._random.choice(self._fronts)
        client = (
            self._kept[front] if self._keep_connections else HttpClient(front, CALL_TIMEOUT_SECONDS)
        )
        try:
            head, answer = await client.call(method, f"{QUEUE_PREFIX}{name}", (_HOST,), body)
        except HttpError:
            # An instance may be down. Like a real caller, this one retries with another instance.
            return 0, b""
        finally:
            if not self._keep_connections:
                client.close()
        return head.status, answer

    def _draw_job(self, name: JobId) -> JobSpec:
        steps = tuple(
            StepSpec(
                count=self._random.randint(1, 4),
                cpu_millis=self._random.choice((500, 1000, 2000)),
                memory_mb=500,
                accelerators=0,
                estimate_ms=self._random.randint(50, 300),
                after=(number - 1,) if number else (),
            )
            for number in range(self._random.randint(1, 2))
        )
        steps = tuple(
            self._labelled(self._reduced(step), f"{name}.0.{number}")
            for number, step in enumerate(steps)
        )
        return JobSpec(name, QueueName("holds"), SERVICE, "work", steps, 0)


def _body(spec: JobSpec) -> bytes:
    fields = [
        {
            "count": step.count,
            "cpu": step.cpu_millis,
            "mem_mb": step.memory_mb,
            "estimate_ms": step.estimate_ms,
            "after": list(step.after),
            "image": step.image,
            "requirements": step.required_label,
            "fills": step.uses_leftover_cpu,
        }
        for step in spec.steps
    ]
    # The platform omits fields whose value is 0, false or empty.
    steps = [{name: value for name, value in each.items() if value} for each in fields]
    return msgspec.json.encode({"spec": spec.payload, "steps": steps})
