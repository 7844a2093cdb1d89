"""The command line's client of the planners' HTTP endpoint."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import urlsplit

import msgspec
import trio

from .._decoding import decode_json
from .._errors import FireflyforkError, InvalidDataError
from .._ids import JobId
from .._links import Address
from ..adapters import HttpClientConnection, HttpError, RequestHead, ResponseHead
from ._batch_messages import (
    BatchProblem,
    JobRequest,
    JobStatus,
    PlannerMetrics,
    TaskExplanation,
)

Answer = TypeVar("Answer")

_MAX_REDIRECTS = 3
_TIMEOUT_SECONDS = 15.0
_MAX_ANSWER_BYTES = 1 << 26


class BatchCallError(FireflyforkError):
    """The planner rejected the request or failed, or no planner answered."""

    def __init__(self, problem: BatchProblem, status: int | None) -> None:
        """``status`` is the HTTP status, or None when no planner answered."""
        super().__init__(problem.error)
        self.problem = problem
        self.status = status


class _NotConnectedError(HttpError):
    """The request was not sent, so the planner can't have accepted anything."""


class BatchClient:
    """Client that tries the planners in turn and follows redirects to the partition's owner.

    Every call may be repeated safely, because a job is identified by the id that its submitter
    chose.
    """

    def __init__(self, planners: tuple[Address, ...], timeout: float = _TIMEOUT_SECONDS) -> None:
        """``timeout`` is in seconds and applies to each planner separately."""
        self._planners = planners
        self._timeout = timeout

    async def submit(self, job: JobRequest) -> JobStatus:
        """Submit a job and return its status once it is stored. Raises BatchCallError."""
        return await self._call("POST", "/v1/jobs", JobStatus, msgspec.json.encode(job))

    async def cancel(self, job_id: JobId, index: int | None = None) -> JobStatus:
        """Cancel a job, or one of its tasks, and return once this is stored. Raises BatchCallError."""
        path = f"/v1/jobs/{job_id}" if index is None else f"/v1/tasks/{job_id}/{index}"
        return await self._call("POST", f"{path}/cancel", JobStatus)

    async def status(self, job_id: JobId) -> JobStatus:
        """Return the status of a job. Raises BatchCallError."""
        return await self._call("GET", f"/v1/jobs/{job_id}", JobStatus)

    async def jobs(self) -> tuple[JobStatus, ...]:
        """Return the jobs of the partitions that the first answering planner owns.

        Raises BatchCallError.
        """
        return await self._call("GET", "/v1/jobs", tuple[JobStatus, ...])

    async def explain(self, job_id: JobId, index: int) -> TaskExplanation:
        """Return the state of a task and the reason for it. Raises BatchCallError."""
        return await self._call("GET", f"/v1/tasks/{job_id}/{index}", TaskExplanation)

    async def metrics(self) -> PlannerMetrics:
        """Return the metrics of the first planner that answers. Raises BatchCallError."""
        return await self._call("GET", "/v1/metrics", PlannerMetrics)

    async def _call(
        self, method: str, target: str, answer_type: type[Answer], body: bytes = b""
    ) -> Answer:
        problem = BatchCallError(BatchProblem("no planner is known"), None)
        accepted = "no"
        for planner in self._planners:
            try:
                head, answer = await self._request_with_redirects(planner, method, target, body)
            except _NotConnectedError as error:
                problem = BatchCallError(BatchProblem(str(error), accepted), None)
                continue
            except HttpError as error:
                accepted = "unknown" if method == "POST" else accepted
                problem = BatchCallError(BatchProblem(str(error), accepted), None)
                continue
            if head.status == 200:
                return _decode(answer, answer_type)
            reported = _decode(answer, BatchProblem)
            # An earlier planner may have stored the change before it stopped responding. The "no"
            # of a later planner covers only its own attempt and must not override that.
            accepted = "unknown" if "unknown" in (accepted, reported.accepted) else "no"
            problem = BatchCallError(BatchProblem(reported.error, accepted), head.status)
            if head.status != 503:
                break
        raise problem

    async def _request_with_redirects(
        self, planner: Address, method: str, target: str, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        for _ in range(_MAX_REDIRECTS):
            head, answer = await self._send_request(planner, method, target, body)
            location = head.header(b"location")
            if head.status != 307 or location is None:
                return head, answer
            planner = Address.parse(urlsplit(location).netloc)
        raise _NotConnectedError(f"more than {_MAX_REDIRECTS} redirects")

    async def _send_request(
        self, planner: Address, method: str, target: str, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        try:
            connection = await HttpClientConnection.open(planner, self._timeout)
        except HttpError as error:
            raise _NotConnectedError(str(error)) from error
        headers = (
            (b"host", str(planner).encode("ascii")),
            (b"content-length", str(len(body)).encode("ascii")),
        )
        head = RequestHead(method, target, headers)
        try:
            with trio.fail_after(self._timeout):
                return await connection.request(head, body, _MAX_ANSWER_BYTES)
        except trio.TooSlowError as error:
            raise HttpError(f"no answer from {planner} in time") from error
        finally:
            connection.close()


def _decode(answer: bytes, answer_type: type[Answer]) -> Answer:
    try:
        return decode_json(answer, answer_type)
    except InvalidDataError as error:
        problem = BatchProblem(f"the planner's answer can't be read: {error}", "unknown")
        raise BatchCallError(problem, None) from error
