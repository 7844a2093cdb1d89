"""Validates callers' HTTP requests and converts them to service requests."""

from __future__ import annotations

import math
import re
import uuid

from .._contracts import Configuration, ServiceContract
from .._errors import BadRequestError, RequestError
from .._ids import IdempotencyKey, RequestId, ServiceName
from .._requests import IDEMPOTENT_METHODS, ServiceRequest
from .._traces import TraceContext
from .._verdict import Verdict
from ..adapters import RequestHead, end_to_end_headers

TIMEOUT_HEADER = b"request-timeout-ms"
KEY_HEADER = b"idempotency-key"
REQUEST_ID_HEADER = b"request-id"
TRACE_HEADER = b"traceparent"
VERDICT_HEADER = b"fireflyfork-verdict"

_METHODS = IDEMPOTENT_METHODS - {"TRACE"} | {"POST", "PATCH"}
_KEY = re.compile(r"[\x21-\x7e]{1,128}")
_TARGET = re.compile(r"/([^/?#]+)([^#]*)")
_DROPPED_HEADERS = frozenset({b"host", TIMEOUT_HEADER, KEY_HEADER, REQUEST_ID_HEADER, TRACE_HEADER})


def read_request(
    head: RequestHead, configuration: Configuration | None, now: float, sampled: bool = True
) -> tuple[ServiceRequest, ServiceContract]:
    """Return the service request in ``head`` and the contract of its service.

    ``now`` is in the event loop's time. ``sampled`` tells whether spans are written for a request
    that carries no trace context. A request with an unsafe method gets its key from the caller's
    header; without the header, ``key`` is empty and the entry generates a key. Raises
    BadRequestError, or RequestError if the entry has no configuration yet.
    """
    if configuration is None:
        raise RequestError(503, "no configuration yet", Verdict.NOT_RUN, retry_after=1.0)
    match = _TARGET.fullmatch(head.target)
    if match is None:
        raise BadRequestError("the path must be /SERVICE/PATH")
    contract = configuration.service(ServiceName(match[1]))
    if contract is None:
        raise BadRequestError(f"no service {match[1]!r}", status=404)
    if head.method not in _METHODS:
        raise BadRequestError(f"method {head.method} is not supported", status=405)
    _check_length(head, contract)
    request = ServiceRequest(
        request_id=RequestId(uuid.uuid4().hex),
        service=contract.name,
        method=head.method,
        path=match[2] if match[2].startswith("/") else f"/{match[2]}",
        headers=_forwarded_headers(head),
        deadline=now + _timeout(head, contract),
        trace=_trace(head, sampled),
        key=_key(head),
    )
    return request, contract


def _timeout(head: RequestHead, contract: ServiceContract) -> float:
    text = head.header(TIMEOUT_HEADER)
    if text is None:
        if contract.default_timeout_seconds is None:
            raise BadRequestError(f"{contract.name} needs a Request-Timeout-Ms header")
        return contract.default_timeout_seconds
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= contract.longest_timeout_seconds:
        longest = int(contract.longest_timeout_seconds * 1000)
        raise BadRequestError(f"Request-Timeout-Ms: {text!r} is not above 0 and up to {longest}")
    return seconds


def _key(head: RequestHead) -> IdempotencyKey | None:
    values = [value for name, value in head.headers if name == KEY_HEADER]
    if len(values) > 1:
        raise BadRequestError("more than one Idempotency-Key")
    if head.method in IDEMPOTENT_METHODS:
        return None
    if not values:
        return IdempotencyKey("")
    text = values[0].decode("latin-1").strip('"')
    if not _KEY.fullmatch(text):
        raise BadRequestError("Idempotency-Key must be 1 to 128 visible ASCII characters")
    return IdempotencyKey(text)


def _trace(head: RequestHead, sampled: bool) -> TraceContext:
    header = head.header(TRACE_HEADER)
    return (TraceContext.parse(header) if header else None) or TraceContext.new(sampled)


def _check_length(head: RequestHead, contract: ServiceContract) -> None:
    length = head.header(b"content-length")
    if length is not None and int(length) > contract.longest_body_bytes:
        raise BadRequestError(f"body over {contract.longest_body_bytes} bytes", status=413)


def _forwarded_headers(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    kept = end_to_end_headers(head.headers)
    return tuple((name, value) for name, value in kept if name not in _DROPPED_HEADERS)
