"""Encodes the configuration for the store and for peers, as JSON that is compressed when large."""

from __future__ import annotations

import zlib

import msgspec

from ._contracts import Configuration
from ._decoding import decode_json
from ._errors import InvalidDataError, SettingsError

COMPRESSED_ABOVE_BYTES = 65_536
"""Values up to this size are stored as plain JSON, which an operator can read in the store."""

LONGEST_DECODED_BYTES = 64 << 20
"""Maximum size of a decompressed value. A larger value is rejected as damaged or hostile."""

_COMPRESSION_LEVEL = 6
_OBJECT_START = b"{"


def encode_contracts(configuration: Configuration) -> bytes:
    """Encode a configuration as JSON, zlib-compressed when large.

    Fields are written in the order in which their types declare them, so equal values give equal
    bytes.
    """
    plain = msgspec.json.encode(configuration)
    if len(plain) <= COMPRESSED_ABOVE_BYTES:
        return plain
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decode_contracts(value: bytes) -> Configuration:
    """Decode a value written by ``encode_contracts``.

    Raises SettingsError if the value is truncated, too large or not a valid configuration.
    """
    try:
        return decode_json(_plain(value), Configuration)
    except (InvalidDataError, zlib.error) as error:
        raise SettingsError(f"the configuration is unreadable: {error}") from error


def _plain(value: bytes) -> bytes:
    if value.startswith(_OBJECT_START):
        return value
    # Without a limit, a damaged or hostile value of a few kilobytes could expand until the process
    # runs out of memory. All entries read the same value, so all would crash and restart in a loop.
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(value, LONGEST_DECODED_BYTES)
    if not decompressor.eof:
        raise SettingsError("the configuration is cut off or too large")
    return plain
