"""The outermost layer of stored values: compression where it pays.

A snapshot of 41,000 running tasks would not fit into the store's megabyte without it.
"""

from __future__ import annotations

import zlib

from .._errors import FireflyforkError

_LEVEL = 1
_LEAST_BYTES = 512
_ZLIB_MARK = 0x78
"""The first byte of what zlib makes; no message of ours begins with it."""
_LONGEST_BYTES = 64_000_000


class StoredBytesError(FireflyforkError):
    """A stored value can't be unpacked."""


def pack(data: bytes) -> bytes:
    """The form to store."""
    return zlib.compress(data, _LEVEL) if len(data) >= _LEAST_BYTES else data


def unpack(value: bytes) -> bytes:
    """What was given to ``pack``. Raises StoredBytesError."""
    if not value or value[0] != _ZLIB_MARK:
        return value
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(value, _LONGEST_BYTES)
    except zlib.error as error:
        raise StoredBytesError(f"a stored value can't be unpacked: {error}") from error
    if not unpacker.eof:
        raise StoredBytesError("a stored value is cut off or too long")
    return data
