"""The configuration as bytes, for the store and for peers: JSON, compressed once it is large."""

from __future__ import annotations

import zlib

import msgspec

from ._contracts import Configuration
from ._errors import SettingsError

COMPRESSED_ABOVE_BYTES = 65_536
"""Smaller values stay plain, so that an operator can read them in the store."""

LONGEST_DECODED_BYTES = 64 << 20
"""A compressed value that grows beyond this is not one of ours."""

_COMPRESSION_LEVEL = 6
_OBJECT_START = b"{"


def encode_contracts(configuration: Configuration) -> bytes:
    """JSON with the fields in the order of their types, so that equal values give equal bytes."""
    plain = msgspec.json.encode(configuration)
    if len(plain) <= COMPRESSED_ABOVE_BYTES:
        return plain
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decode_contracts(value: bytes) -> Configuration:
    """Read what ``encode_contracts`` wrote. Raises SettingsError."""
    try:
        return msgspec.json.decode(_plain(value), type=Configuration)
    except (msgspec.DecodeError, zlib.error) as error:
        raise SettingsError(f"the configuration is unreadable: {error}") from error


def _plain(value: bytes) -> bytes:
    if value.startswith(_OBJECT_START):
        return value
    # Without a limit, a damaged or hostile value of a few kilobytes could grow until the process
    # dies of it; one would see every entry restart at the same time, again and again.
    expanding = zlib.decompressobj()
    plain = expanding.decompress(value, LONGEST_DECODED_BYTES)
    if not expanding.eof:
        raise SettingsError("the configuration is cut off or too large")
    return plain
