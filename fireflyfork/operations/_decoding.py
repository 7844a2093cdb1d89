"""Decode plain JSON values into typed objects and report all errors at once.

``msgspec`` stops at the first error and ignores unknown fields: operators would fix a file one
message at a time, and a misspelt field would silently get its default. This module therefore
walks objects and lists itself and uses ``msgspec`` only to convert single values.
"""

from __future__ import annotations

import dataclasses
import functools
import types
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from ._quantities import Quantity
from ._violations import Violation, shown

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded(typing.Generic[T]):
    """The result of decoding: a typed object, or None and the violations that were found."""

    value: T | None
    violations: tuple[Violation, ...]


def decode(expected: type[T], raw: object) -> Decoded[T]:
    """Convert a parsed JSON value into the dataclass ``expected``."""
    found: list[Violation] = []
    value = _convert(expected, raw, "", found)
    return Decoded(None if found else value, tuple(found))


def _convert(expected: Any, raw: object, path: str, found: list[Violation]) -> Any:
    if dataclasses.is_dataclass(expected) and not is_quantity(expected):
        return _convert_object(expected, raw, path, found)
    if typing.get_origin(expected) is tuple and typing.get_args(expected)[-1] is Ellipsis:
        return _convert_list(typing.get_args(expected)[0], raw, path, found)
    if is_optional(expected):
        return None if raw is None else _convert(inner_type(expected), raw, path, found)
    return _convert_leaf(expected, raw, path, found)


def _convert_object(expected: Any, raw: object, path: str, found: list[Violation]) -> Any:
    if not isinstance(raw, dict):
        found.append(Violation(path or "file", shown(raw), "must be an object", "write {...} here"))
        return None
    hints = type_hints(expected)
    for name in raw:
        if name not in hints:
            found.append(_unknown_field(name, raw[name], list(hints), path))
    values: dict[str, Any] = {}
    for field in dataclasses.fields(expected):
        where = joined(path, field.name)
        if field.name in raw:
            values[field.name] = _convert(hints[field.name], raw[field.name], where, found)
        elif _is_required(field):
            fix = f"add it, such as {_example(hints[field.name])}"
            found.append(Violation(where, "absent", "is required", fix))
    return None if found else expected(**values)


def _convert_list(element: Any, raw: object, path: str, found: list[Violation]) -> Any:
    if not isinstance(raw, list):
        found.append(Violation(path, shown(raw), "must be a list", "write [...] here"))
        return ()
    return tuple(
        _convert(element, item, f"{path}[{index}]", found) for index, item in enumerate(raw)
    )


def _convert_leaf(expected: Any, raw: object, path: str, found: list[Violation]) -> Any:
    try:
        if is_quantity(expected):
            return expected.parse(raw)
        return msgspec.convert(raw, expected)
    except (ValueError, msgspec.ValidationError) as error:
        rule = str(error)
        rule = rule[0].lower() + rule[1:]
        found.append(Violation(path, shown(raw), rule, f"write {_example(expected)}"))
        return None


def _unknown_field(name: str, value: object, known: list[str], path: str) -> Violation:
    import difflib

    close = difflib.get_close_matches(name, known, n=1)
    fix = f"did you mean {close[0]}?" if close else f"remove it; known are {', '.join(known)}"
    return Violation(joined(path, name), shown(value), "is not a known field", fix.rstrip("?"))


@functools.cache
def type_hints(expected: Any) -> dict[str, Any]:
    """Return the resolved types of a dataclass's fields by name."""
    return typing.get_type_hints(expected)


def is_quantity(expected: Any) -> bool:
    """Whether a type is a subclass of ``Quantity``, a number with a unit."""
    return isinstance(expected, type) and issubclass(expected, Quantity)


def is_optional(expected: Any) -> bool:
    """Whether a type is a union with None."""
    union = typing.get_origin(expected) in (typing.Union, types.UnionType)
    return union and type(None) in typing.get_args(expected)


def inner_type(expected: Any) -> Any:
    """Return the first member of an optional type that is not None."""
    return next(option for option in typing.get_args(expected) if option is not type(None))


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _example(expected: Any) -> str:
    if is_optional(expected):
        return _example(inner_type(expected))
    if is_quantity(expected):
        return f'"{expected.example()}"'
    if dataclasses.is_dataclass(expected):
        return "{...}"
    if typing.get_origin(expected) is tuple:
        return "[...]"
    return _plain_example(getattr(expected, "__supertype__", expected))


def _plain_example(expected: Any) -> str:
    if hasattr(expected, "__members__"):
        return " or ".join(f'"{member.value}"' for member in expected)
    return {str: '"text"', int: "a whole number", float: "a number", bool: "true or false"}.get(
        expected, "a value of that type"
    )


def joined(path: str, name: str) -> str:
    """Return the path of a field of the object at ``path``; an empty path is the root."""
    return f"{path}.{name}" if path else name


def leaves(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Yield the path and value of each scalar in nested dicts and lists, in their order."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from leaves(inner, joined(path, str(name)))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from leaves(inner, f"{path}[{index}]")
    else:
        yield path, value
