"""Encoding of stored values: msgpack, checked against the types when decoded."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from math import isfinite
from typing import TypeVar

import msgspec

from ..._decoding import decode_msgpack, is_header_text
from ..._errors import FireflyforkError, InvalidDataError
from ..._ids import QueueName
from ._executors import ExecutorRegistration
from ._interference import MAX_IMAGES, LearnedFit, is_solvable
from ._job_limits import job_problem
from ._progress import StoredProgress
from ._queue_terms import QueueTerms
from ._specs import JobSpec
from ._stored_estimates import StoredEstimates
from ._stored_shares import StoredShare
from ._waves import UpkeepMark

_Stored = TypeVar("_Stored")
MAX_LOG_SPEED = 3.0
"""Largest natural logarithm of an observed speed: twenty times the usual one, or a twentieth."""
_ESTIMATES = "\x00estimates"
"""Name, in place of an image, of the row that holds the estimates."""


class StoredFormatError(FireflyforkError):
    """A stored value has a format that this version does not write."""


@dataclass(frozen=True, slots=True)
class _SharesCarrier:
    """The part of a stored fit that holds shares; the other fields are ignored."""

    shares: tuple[StoredShare, ...] = ()


def encode_progress(progress: StoredProgress) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(progress)


def decode_progress(data: bytes) -> StoredProgress:
    """Decode the stored form. Raises StoredFormatError."""
    return _decode(data, StoredProgress)


def encode_job(job: JobSpec) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(job)


def decode_stored_job(data: bytes) -> JobSpec:
    """Decode the stored form. Raises StoredFormatError, also for a job that exceeds a limit."""
    spec = _decode(data, JobSpec)
    problem = job_problem(spec)
    if problem:
        raise StoredFormatError(f"stored job: {problem}")
    return spec


def encode_registrations(registrations: tuple[ExecutorRegistration, ...]) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(registrations)


def decode_registrations(data: bytes) -> tuple[ExecutorRegistration, ...]:
    """Decode the stored form. Raises StoredFormatError."""
    registrations = _decode(data, tuple[ExecutorRegistration, ...])
    for registration in registrations:
        if not is_header_text(registration.executor):
            raise StoredFormatError(f"{registration.executor!r:.80} can't name an executor")
    return registrations


@dataclass(frozen=True, slots=True)
class _EstimatesRow(LearnedFit):
    """A row beside the learned fits that programs without estimates read as an empty fit."""

    estimates: StoredEstimates | None = None


def encode_learned(
    learned: tuple[LearnedFit, ...],
    shares: tuple[StoredShare, ...] = (),
    estimates: StoredEstimates | None = None,
) -> bytes:
    """Return the stored form as bytes.

    Shares are added to the first fit, as a field that builds which don't know it ignore. Without
    a fit they are added to an empty one.
    """
    rows: list[object] = list(learned)
    if shares:
        first = learned[0] if learned else LearnedFit("", (), (), ())
        rows[:1] = [{**asdict(first), "shares": shares}]
    if estimates is not None:
        rows.append(_EstimatesRow(_ESTIMATES, (), (), (), estimates))
    return msgspec.msgpack.encode(rows)


def decode_estimates(data: bytes) -> StoredEstimates | None:
    """Decode the estimates stored with the learned fits, if any. Raises StoredFormatError."""
    rows = _decode(data, tuple[_EstimatesRow, ...])
    stored = next((row.estimates for row in rows if row.estimates is not None), None)
    if stored is not None:
        _check_estimates(stored)
    return stored


def _check_estimates(stored: StoredEstimates) -> None:
    """Raise StoredFormatError for counts that no owner can have stored."""
    counts = [count for each in stored.executors for count in (each.good, each.bad)]
    counts += [each.weight for each in stored.speeds]
    if not all(isfinite(count) and count >= 0 for count in counts):
        raise StoredFormatError("the stored estimates have counts that are no counts")
    if not all(abs(each.total) <= MAX_LOG_SPEED * each.weight for each in stored.speeds):
        raise StoredFormatError("the stored estimates have speeds that are out of range")


def decode_learned(data: bytes) -> tuple[LearnedFit, ...]:
    """Decode the stored form. Raises StoredFormatError."""
    rows = _decode(data, tuple[LearnedFit, ...])
    learned = tuple(fit for fit in rows if fit.serving and fit.serving != _ESTIMATES)
    for fit in learned:
        size = len(fit.names)
        if len(fit.targets) != size or len(fit.products) != size * (size + 1) // 2:
            raise StoredFormatError(f"the learned fit of {fit.serving!r} has missing values")
        if size > MAX_IMAGES + 2 or not is_solvable(fit):
            raise StoredFormatError(f"the learned fit of {fit.serving!r} is no sum of observations")
    return learned


def decode_shares(data: bytes) -> tuple[StoredShare, ...]:
    """Decode the shares stored with the learned fits. Raises StoredFormatError."""
    carriers = _decode(data, tuple[_SharesCarrier, ...])
    return tuple(share for carrier in carriers for share in carrier.shares)


def encode_terms(terms: Mapping[QueueName, QueueTerms]) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(terms)


def decode_terms(data: bytes) -> dict[QueueName, QueueTerms]:
    """Decode the stored form. Raises StoredFormatError."""
    return {QueueName(name): terms for name, terms in _decode(data, dict[str, QueueTerms]).items()}


def encode_upkeep_mark(mark: UpkeepMark) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(mark)


def decode_upkeep_mark(data: bytes) -> UpkeepMark:
    """Decode the stored form. Raises StoredFormatError."""
    return _decode(data, UpkeepMark)


def _decode(data: bytes, shape: type[_Stored]) -> _Stored:
    try:
        return decode_msgpack(data, shape)
    except InvalidDataError as error:
        raise StoredFormatError(f"stored value can't be decoded as {shape}: {error}") from error
