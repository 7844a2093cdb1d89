"""The form in which the store holds a configuration: JSON, compressed once it is large."""

from __future__ import annotations

import zlib

import msgspec

from .._contracts import Configuration
from .._errors import SettingsError

COMPRESSED_ABOVE_BYTES = 65_536
"""Smaller values stay plain, so that an operator can read them in the store."""

LONGEST_STORED_BYTES = 1_000_000
"""The store holds values up to a megabyte."""

LONGEST_DECODED_BYTES = 64 << 20
"""A compressed value that grows beyond this is not one of ours."""

_COMPRESSION_LEVEL = 6
_OBJECT_START = b"{"


def encode_configuration(configuration: Configuration) -> bytes:
    """The value to store."""
    plain = msgspec.json.encode(configuration)
    if len(plain) <= COMPRESSED_ABOVE_BYTES:
        return plain
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decode_configuration(value: bytes) -> Configuration:
    """Decode a stored value. Raises SettingsError when it is malformed."""
    try:
        return msgspec.json.decode(_plain(value), type=Configuration)
    except (msgspec.ValidationError, msgspec.DecodeError, zlib.error) as error:
        raise SettingsError(f"the stored configuration is malformed: {error}") from error


def _plain(value: bytes) -> bytes:
    if value.startswith(_OBJECT_START):
        return value
    # Without a limit, a damaged or hostile value of a few kilobytes could grow until the process
    # dies of it; one would see every entry restart at the same time, again and again.
    expanding = zlib.decompressobj()
    plain = expanding.decompress(value, LONGEST_DECODED_BYTES)
    if not expanding.eof:
        raise SettingsError("the stored configuration is cut off or too large")
    return plain
