"""Encoding of stored values: msgpack, checked against the types when decoded."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TypeVar

import msgspec

from ..._errors import FireflyforkError
from ._executors import ExecutorRegistration
from ._interference import LearnedFit
from ._progress import StoredProgress
from ._specs import JobSpec
from ._stored_shares import StoredShare
from ._waves import UpkeepMark

_Stored = TypeVar("_Stored")


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
    """Decode the stored form. Raises StoredFormatError."""
    return _decode(data, JobSpec)


def encode_registrations(registrations: tuple[ExecutorRegistration, ...]) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(registrations)


def decode_registrations(data: bytes) -> tuple[ExecutorRegistration, ...]:
    """Decode the stored form. Raises StoredFormatError."""
    return _decode(data, tuple[ExecutorRegistration, ...])


def encode_learned(learned: tuple[LearnedFit, ...], shares: tuple[StoredShare, ...] = ()) -> bytes:
    """Return the stored form as bytes.

    Shares are added to the first fit, as a field that builds which don't know it ignore. Without
    a fit they are added to an empty one.
    """
    if not shares:
        return msgspec.msgpack.encode(learned)
    first, *others = learned or (LearnedFit("", (), (), ()),)
    with_shares = {**asdict(first), "shares": shares}
    return msgspec.msgpack.encode((with_shares, *others))


def decode_learned(data: bytes) -> tuple[LearnedFit, ...]:
    """Decode the stored form. Raises StoredFormatError."""
    learned = tuple(fit for fit in _decode(data, tuple[LearnedFit, ...]) if fit.serving)
    for fit in learned:
        size = len(fit.names)
        if len(fit.targets) != size or len(fit.products) != size * (size + 1) // 2:
            raise StoredFormatError(f"the learned fit of {fit.serving!r} has missing values")
    return learned


def decode_shares(data: bytes) -> tuple[StoredShare, ...]:
    """Decode the shares stored with the learned fits. Raises StoredFormatError."""
    carriers = _decode(data, tuple[_SharesCarrier, ...])
    return tuple(share for carrier in carriers for share in carrier.shares)


def encode_upkeep_mark(mark: UpkeepMark) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(mark)


def decode_upkeep_mark(data: bytes) -> UpkeepMark:
    """Decode the stored form. Raises StoredFormatError."""
    return _decode(data, UpkeepMark)


def _decode(data: bytes, shape: type[_Stored]) -> _Stored:
    try:
        return msgspec.msgpack.decode(data, type=shape)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StoredFormatError(f"stored value can't be decoded as {shape}: {error}") from error
