"""The content of control messages: dataclasses as msgpack."""

from __future__ import annotations

from typing import TypeVar

import msgpack
import msgspec

from .._errors import PeerError

Content = TypeVar("Content")


def encode_content(content: object) -> bytes:
    """The bytes of a dataclass."""
    return bytes(msgpack.packb(msgspec.to_builtins(content, builtin_types=(bytes,))))


def decode_content(data: bytes, content_type: type[Content]) -> Content:
    """The dataclass that ``data`` holds. Raises PeerError."""
    try:
        plain = msgpack.unpackb(data)
        return msgspec.convert(plain, content_type, builtin_types=(bytes,))
    except (ValueError, msgspec.ValidationError, msgpack.UnpackException) as error:
        raise PeerError(f"bad {content_type.__name__}: {error}") from error
