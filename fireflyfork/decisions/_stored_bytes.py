"""Compression of large stored values.

Without it, a snapshot of 41,000 running tasks would exceed the store's limit of one megabyte.
"""

from __future__ import annotations

import zlib

from .._errors import FireflyforkError

_LEVEL = 1
_MIN_COMPRESSED_BYTES = 512
_ZLIB_FIRST_BYTE = 0x78
"""The first byte of zlib's output; no uncompressed stored value begins with it."""
_MAX_UNPACKED_BYTES = 64_000_000


class StoredBytesError(FireflyforkError):
    """A stored value can't be decompressed."""


def pack(data: bytes) -> bytes:
    """Return the form to store, compressed if ``data`` is large enough."""
    return zlib.compress(data, _LEVEL) if len(data) >= _MIN_COMPRESSED_BYTES else data


def unpack(value: bytes) -> bytes:
    """Return the data passed to ``pack``. Raises StoredBytesError if the value is malformed."""
    if not value or value[0] != _ZLIB_FIRST_BYTE:
        return value
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(value, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise StoredBytesError(f"a stored value can't be decompressed: {error}") from error
    if not unpacker.eof:
        raise StoredBytesError("a stored value is truncated or too long")
    return data
