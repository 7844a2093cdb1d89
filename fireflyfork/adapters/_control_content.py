"""Encodes dataclasses as msgpack for the content of control messages."""

from __future__ import annotations

from typing import TypeVar

import msgpack
import msgspec

from .._decoding import convert, unpack_msgpack
from .._errors import InvalidDataError, PeerError

Content = TypeVar("Content")


def encode_content(content: object) -> bytes:
    """Encode a dataclass."""
    return bytes(msgpack.packb(msgspec.to_builtins(content, builtin_types=(bytes,))))


def decode_content(data: bytes, content_type: type[Content]) -> Content:
    """Decode ``data`` as ``content_type``. Raises PeerError if it doesn't match that type."""
    try:
        return convert(unpack_msgpack(data), content_type)
    except InvalidDataError as error:
        raise PeerError(f"bad {content_type.__name__}: {error}") from error
