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

from .._decoding import guarded
from .._errors import InvalidDataError
from ._quantities import Quantity
from ._violations import Violation, short_repr

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded(typing.Generic[T]):
    """The result of decoding: a typed object, or None and the violations that were found."""

    value: T | None
    violations: tuple[Violation, ...]


def decode(expected: type[T], raw: object) -> Decoded[T]:
    """Convert a parsed JSON value into the dataclass ``expected``."""
    violations: list[Violation] = []
    value = _convert(expected, raw, "", violations)
    return Decoded(None if violations else value, tuple(violations))


def _convert(expected: Any, raw: object, path: str, violations: list[Violation]) -> Any:
    if dataclasses.is_dataclass(expected) and not is_quantity(expected):
        return _convert_object(expected, raw, path, violations)
    if typing.get_origin(expected) is tuple and typing.get_args(expected)[-1] is Ellipsis:
        return _convert_list(typing.get_args(expected)[0], raw, path, violations)
    if is_optional(expected):
        return None if raw is None else _convert(inner_type(expected), raw, path, violations)
    return _convert_leaf(expected, raw, path, violations)


def _convert_object(expected: Any, raw: object, path: str, violations: list[Violation]) -> Any:
    if not isinstance(raw, dict):
        violations.append(
            Violation(path or "file", short_repr(raw), "must be an object", "write {...} here")
        )
        return None
    hints = type_hints(expected)
    for name in raw:
        if name not in hints:
            violations.append(_unknown_field(name, raw[name], list(hints), path))
    values: dict[str, Any] = {}
    for field in dataclasses.fields(expected):
        field_path = join_path(path, field.name)
        if field.name in raw:
            values[field.name] = _convert(
                hints[field.name], raw[field.name], field_path, violations
            )
        elif _is_required(field):
            fix = f"add it, such as {_example(hints[field.name])}"
            violations.append(Violation(field_path, "absent", "is required", fix))
    return None if violations else expected(**values)


def _convert_list(element: Any, raw: object, path: str, violations: list[Violation]) -> Any:
    if not isinstance(raw, list):
        violations.append(Violation(path, short_repr(raw), "must be a list", "write [...] here"))
        return ()
    return tuple(
        _convert(element, item, f"{path}[{index}]", violations) for index, item in enumerate(raw)
    )


def _convert_leaf(expected: Any, raw: object, path: str, violations: list[Violation]) -> Any:
    try:
        if is_quantity(expected):
            return expected.parse(raw)
        return guarded(lambda: msgspec.convert(raw, expected))
    except (InvalidDataError, ValueError) as error:
        rule = str(error)
        rule = rule[0].lower() + rule[1:]
        violations.append(Violation(path, short_repr(raw), rule, f"write {_example(expected)}"))
        return None


def _unknown_field(name: str, value: object, known: list[str], path: str) -> Violation:
    import difflib

    close = difflib.get_close_matches(name, known, n=1)
    fix = f"did you mean {close[0]}?" if close else f"remove it; known are {', '.join(known)}"
    return Violation(
        join_path(path, name), short_repr(value), "is not a known field", fix.rstrip("?")
    )


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


def join_path(path: str, name: str) -> str:
    """Return the path of a field of the object at ``path``; an empty path is the root."""
    return f"{path}.{name}" if path else name


def iter_leaves(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Yield the path and value of each scalar in nested dicts and lists, in their order."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from iter_leaves(inner, join_path(path, str(name)))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from iter_leaves(inner, f"{path}[{index}]")
    else:
        yield path, value
