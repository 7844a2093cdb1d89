"""Encodes dataclasses as msgpack for the content of control messages."""

from __future__ import annotations

from typing import TypeVar

import msgpack
import msgspec

from .._errors import PeerError

Content = TypeVar("Content")


def encode_content(content: object) -> bytes:
    """Encode a dataclass."""
    return bytes(msgpack.packb(msgspec.to_builtins(content, builtin_types=(bytes,))))


def decode_content(data: bytes, content_type: type[Content]) -> Content:
    """Decode ``data`` as ``content_type``. Raises PeerError if it doesn't match that type."""
    try:
        plain = msgpack.unpackb(data)
        return msgspec.convert(plain, content_type, builtin_types=(bytes,))
    except (ValueError, msgspec.ValidationError, msgpack.UnpackException) as error:
        raise PeerError(f"bad {content_type.__name__}: {error}") from error
