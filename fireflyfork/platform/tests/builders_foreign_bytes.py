"""Builders of bytes that no decoder expects, and of valid values with one invalid part."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from hypothesis import strategies as st

DEPTH = 20_000
BIG_INTEGERS = (2**53, 2**63, 2**64, 2**70, -(2**63) - 1, 10**400)

JsonValue = object

_LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from(BIG_INTEGERS[:-1])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
)
ANY_JSON: st.SearchStrategy[JsonValue] = st.recursive(
    _LEAVES,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def nested(inner: bytes = b"1") -> Iterator[bytes]:
    """Yield values that nest more deeply than a recursive decoder can follow."""
    yield b"[" * DEPTH + inner + b"]" * DEPTH
    yield b'{"a":' * DEPTH + inner + b"}" * DEPTH
    yield b'{"a":' * DEPTH


def with_field(document: dict[str, JsonValue], field: str, value: bytes) -> bytes:
    """Return a document as JSON with one more field, or another value of a field."""
    rest = {name: other for name, other in document.items() if name != field}
    head = msgspec.json.encode(rest).removesuffix(b"}")
    separator = b"," if rest else b""
    return head + separator + msgspec.json.encode(field) + b":" + value + b"}"


def invalid_documents(document: dict[str, JsonValue]) -> Iterator[bytes]:
    """Yield what may stand in place of a valid document: each of them must be handled."""
    yield from (b"", b"\xff\xfe", b"\x00" * 64, b"{", b"null", b'"\\ud800"', b"9" * 5_000)
    yield from nested()
    for value in nested():
        yield with_field(document, "unknown", value)
    for field in document:
        yield from (with_field(document, field, value) for value in nested())
        for number in BIG_INTEGERS:
            yield with_field(document, field, str(number).encode("ascii"))
        yield with_field(document, field, b'"' + b"x" * 300_000 + b'"')
        yield with_field(document, field, b'"\\u0000 \\r\\n \xc3\xa9"')


def altered(document: dict[str, JsonValue]) -> st.SearchStrategy[bytes]:
    """Draw a document with other values in some of its fields."""
    fields = st.dictionaries(st.sampled_from(sorted(document)), ANY_JSON, max_size=3)
    return fields.map(lambda changes: msgspec.json.encode({**document, **changes}))
