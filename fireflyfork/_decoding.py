"""Decodes bytes from outside the process: from callers, executors, operators, the store and peers.

Such bytes may be anything. All decoders of the package go through this module, which raises one
error whatever is wrong with them. Shapes bound their numbers and texts with the types below.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgpack
import msgspec

from ._errors import InvalidDataError

MAX_INTEGER = 2**53 - 1
"""Largest integer that all implementations of JSON exchange without loss (RFC 8259, section 6).
Sums of a few such numbers still fit into 64 bits, the most that msgpack can encode."""
MAX_LONG_INTEGER = 2**63 - 1
MAX_NAME_LENGTH = 256
"""Maximum number of characters of a name, a label or an address."""
MAX_ERROR_LENGTH = 200
"""Maximum number of characters of a decoder's message that are passed on."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
LongCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_LONG_INTEGER)]
"""A revision or lease that the store assigns, or a time that is computed from another clock."""
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_HEADER_TEXT = re.compile(r"[!-~]+")
HeaderText = Annotated[
    str, msgspec.Meta(pattern=rf"\A{_HEADER_TEXT.pattern}\Z", max_length=MAX_NAME_LENGTH)
]
"""A name that may be sent in an HTTP header."""
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]
"""A duration, which may be infinite but not NaN."""

_Value = TypeVar("_Value")


def is_header_text(text: str) -> bool:
    """Whether a name may be sent in an HTTP header."""
    return len(text) <= MAX_NAME_LENGTH and _HEADER_TEXT.fullmatch(text) is not None


def decode_json(data: bytes | str, shape: type[_Value]) -> _Value:
    """Decode JSON as ``shape``. Raises InvalidDataError."""
    return guarded(lambda: msgspec.json.decode(data, type=shape))


def decode_msgpack(data: bytes, shape: type[_Value]) -> _Value:
    """Decode msgpack as ``shape``. Raises InvalidDataError."""
    return guarded(lambda: msgspec.msgpack.decode(data, type=shape))


def unpack_msgpack(data: bytes) -> Any:
    """Decode msgpack as plain objects. Raises InvalidDataError."""
    return guarded(lambda: msgpack.unpackb(data))


def convert(plain: Any, shape: type[_Value]) -> _Value:
    """Convert plain objects, which may contain bytes, to ``shape``. Raises InvalidDataError."""
    return guarded(lambda: msgspec.convert(plain, shape, builtin_types=(bytes,)))


def guarded(decode: Callable[[], _Value]) -> _Value:
    """Return the result of ``decode``. Raises InvalidDataError for any error that it raises."""
    try:
        return decode()
    except Exception as error:
        # Decoders also raise errors that they don't document, such as RecursionError for deeply
        # nested values.
        message = str(error) or type(error).__name__
        raise InvalidDataError(message[:MAX_ERROR_LENGTH]) from error
