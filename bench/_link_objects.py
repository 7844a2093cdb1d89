"""Sample objects that cross the link between regions, encoded by the product's own code.

Objects that the platform writes (answers of its store, registrations, lists of runs) follow its
documented format, with names of the usual length.
"""

from __future__ import annotations

from base64 import b64encode
from random import Random

import h11
import msgspec

from fireflyfork import Address
from fireflyfork._ids import (
    AttemptNumber,
    ExecutorId,
    FailureDomainName,
    JobId,
    QueueName,
    ServiceName,
    TaskName,
)
from fireflyfork.adapters import ExecutorEndpoint, Header
from fireflyfork.adapters._message_stream import encode_frame
from fireflyfork.adapters._relay_messages import (
    OrderReply,
    Ping,
    PollReply,
    Pong,
    poll_call,
    start_call,
)
from fireflyfork.decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    ExecutorRegistration,
    ExecutorRoom,
    JobSpec,
    JobState,
    LearnedFit,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    RunningRow,
    StartRequest,
    StepSpec,
    StoredProgress,
    StoredTask,
    encode_job,
    encode_learned,
    encode_progress,
    encode_registrations,
)
from fireflyfork.platform._names import EXPECTED_INCARNATION_HEADER, POLL_PATH

SERVICE = ServiceName("dele69a")
TASKS_PER_JOB = 26
REVISION = 78_450
CLOCK_MS = 482_113
INCARNATION = 1_783_700_586_784
TOKEN = 7_690
_HOST = (b"host", b"10.200.1.7:8361")
_ANSWER_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1000\r\n\r\n"
_PLACE = ExecutorEndpoint(ExecutorId("i-6a8e5c8fbd"), Address("10.104.0.117", 9_204), INCARNATION)


def request_bytes(method: str, target: str, body: bytes = b"", *extra_headers: Header) -> int:
    """Return the size of an HTTP request in bytes, including its head."""
    headers = (
        _HOST,
        (b"content-type", b"application/json"),
        *extra_headers,
        (b"content-length", str(len(body)).encode("ascii")),
    )
    connection = h11.Connection(h11.CLIENT)
    head = connection.send(h11.Request(method=method, target=target, headers=list(headers)))
    assert head is not None
    return len(head) + len(body)


def response_bytes(body: object) -> int:
    """Return the size in bytes of a response of the store or an executor, including its head."""
    return len(_ANSWER_HEAD) + len(msgspec.json.encode(body))


def store_item(key: str, value: bytes) -> dict[str, object]:
    """Return a key with its value as the store reports it."""
    text = b64encode(value).decode("ascii")
    return {"key": key, "value": text, "revision": REVISION, "created": REVISION, "lease": 0}


def watch_response_bytes(*items: dict[str, object]) -> int:
    """Return the size in bytes of the response to a watch."""
    return response_bytes({"events": items, "as_of": REVISION})


def list_response_bytes(*items: dict[str, object]) -> int:
    """Return the size in bytes of the response to a list call, with all pages in one."""
    return response_bytes({"items": items, "has_more": False, "as_of": REVISION})


def transaction_bytes(*puts: tuple[str, bytes], conditions: int = 1) -> int:
    """Return the size in bytes of a transaction request."""
    rows = [
        {"key": key, "value": b64encode(value).decode("ascii"), "lease": 0} for key, value in puts
    ]
    expected = [{"key": "fireflyfork/work/owner/dele69a", "revision": REVISION}] * conditions
    body = {"expected_revision": expected, "puts": rows, "remove": []}
    return request_bytes("POST", "/kv-txn", msgspec.json.encode(body))


def stored_job(name: JobId, payload_bytes: int) -> bytes:
    """Return the stored form of a job of three steps."""
    steps = (
        StepSpec(4, 500, 256, 0, 900, data_rack="r1-3"),
        StepSpec(20, 2_000, 1_024, 0, 7_000, after=(0,), checkpointing=True, image="image-12"),
        StepSpec(2, 1_000, 512, 0, 900, after=(1,)),
    )
    return encode_job(
        JobSpec(name, QueueName("r-gka77pg"), SERVICE, "x" * payload_bytes, steps, INCARNATION)
    )


def stored_progress(running: bool) -> bytes:
    """Return the stored progress of a job: running with half of its tasks done, or completed."""
    done = tuple((0, 1, index) for index in range(TASKS_PER_JOB // 2 if running else 0))
    pending = tuple(
        StoredTask(0, 1, index, 1, (), "00000bb87a21d94b")
        for index in range(TASKS_PER_JOB // 2 if running else 0)
    )
    state = JobState.RUNNING if running else JobState.COMPLETED
    return encode_progress(StoredProgress(state, 0 if running else INCARNATION, done, 0, pending))


def registration_item(number: int) -> dict[str, object]:
    """Return the registration that an executor writes, as an item of the store."""
    value = {
        "service": SERVICE,
        "address": f"10.104.0.{number % 250}:9204",
        "zone": "savusavu",
        "version": "1.14.2",
        "capacity": 16,
        "state": "ready",
        "warmup_ms": 0,
        "seq": 1_204,
        "born": INCARNATION,
        "room": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "labels": ["std", f"r{number % 24}-3"],
    }
    return store_item(f"servers/i-{number:010x}", msgspec.json.encode(value))


def known_executors(count: int) -> bytes:
    """Return the stored list of executors that an owner leaves for its successor."""
    return encode_registrations(
        tuple(
            ExecutorRegistration(
                ExecutorId(f"i-{number:010x}"),
                SERVICE,
                Address(f"10.104.0.{number % 250}", 9_204),
                FailureDomainName("savusavu"),
                False,
                ExecutorRoom(16_000, 32_768, 0),
                frozenset(("std", f"r{number % 24}-3")),
                f"r{number % 24}-3",
                INCARNATION,
            )
            for number in range(count)
        )
    )


def learned(services: int, images: int, random: Random) -> bytes:
    """Return the stored form of the interference fits that an owner has learned."""
    names = (*(f"image-{number}" for number in range(images)), "")
    size = len(names)
    fits = (
        LearnedFit(
            f"serving-{number}",
            names,
            tuple(random.random() for _ in range(size * (size + 1) // 2)),
            tuple(random.random() for _ in range(size)),
        )
        for number in range(services)
    )
    return encode_learned(tuple(fits))


def announcement_item(number: int) -> dict[str, object]:
    """Return the announcement of an instance, as an item of the store."""
    value = {"strength": 0.86, "failure_domain": "savusavu", "relay": f"10.4.0.{number}:7720"}
    return store_item(f"fireflyfork/instance/edge-savusavu-{number}", msgspec.json.encode(value))


def owner_item() -> dict[str, object]:
    """Return the key that names the owner of the service, as an item of the store."""
    value = {"node": "edge-nadi-1", "nonce": "00112233445566ff"}
    return store_item("fireflyfork/work/owner/dele69a", msgspec.json.encode(value))


def relayed_poll_bytes(running: int, ended: int) -> tuple[int, int]:
    """Return the sizes in bytes of a relayed poll and of its reply with these runs and ends."""
    request = poll_call(57_120, _PLACE, TOKEN, PollRequest(57, CLOCK_MS, 1.0, 5.0))
    rows = PollAnswer(
        CallOutcome.ACCEPTED,
        CLOCK_MS,
        INCARNATION,
        tuple(_running(number) for number in range(running)),
        tuple(
            EndedRow(number, _task(number), AttemptNumber(1), EndReason.DONE, "")
            for number in range(ended)
        ),
    )
    return len(encode_frame([request])), len(encode_frame([PollReply.of(57_120, rows)]))


def direct_poll_bytes(running: int, ended: int) -> tuple[int, int]:
    """Return the sizes in bytes of a direct poll and of its response with these runs and ends."""
    question = {"fencing_token": TOKEN, "last_seen": 57, "deadline_ms": CLOCK_MS, "wait_ms": 1_000}
    incarnation = (EXPECTED_INCARNATION_HEADER, str(INCARNATION).encode("ascii"))
    request = request_bytes("POST", POLL_PATH, msgspec.json.encode(question), incarnation)
    rows = [[_task(number), 1, "00000bb87a21d94b", 40, 812.0] for number in range(running)]
    ends = [[number, _task(number), 1, "done", ""] for number in range(ended)]
    response = response_bytes(
        {"clock_ms": CLOCK_MS, "born": INCARNATION, "running": rows, "ended": ends}
    )
    return request, response


def pending_counts(queues: int) -> bytes:
    """Return the stored number of pending jobs of each queue."""
    return msgspec.json.encode({f"r-{number:07d}": 12 for number in range(queues)})


def relayed_start_bytes(payload_bytes: int) -> tuple[int, int]:
    """Return the sizes in bytes of a relayed start order and its reply."""
    order = StartRequest(_task(9), AttemptNumber(1), "x" * payload_bytes, CLOCK_MS, "", "")
    back = OrderReply.of(57_120, OrderAnswer(CallOutcome.ACCEPTED, CLOCK_MS, INCARNATION))
    return (
        len(encode_frame([start_call(57_120, _PLACE, TOKEN, order)])),
        len(encode_frame([back])),
    )


def ping_bytes() -> tuple[int, int]:
    """Return the sizes in bytes of a ping and its reply."""
    return len(encode_frame([Ping()])), len(encode_frame([Pong()]))


def _task(number: int) -> TaskName:
    return TaskName(f"5c0e7a21d94b36f8.0.1.{number}")


def _running(number: int) -> RunningRow:
    return RunningRow(_task(number), AttemptNumber(1), "00000bb87a21d94b", 40, 812.0)
