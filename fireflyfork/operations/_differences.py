"""Differences between two configurations.

Elements of lists are matched by name instead of index, so reordering makes no difference.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from .._contracts import Configuration
from ._decoding import join_path
from ._violations import short_repr

_METADATA_FIELDS = frozenset({"version", "change_id", "note"})
_MAX_LISTED_NAMES = 4
_MAX_VALUE_LENGTH = 120
_NAME_FIELDS = ("target_id", "name", "regions", "failure_domain")
"""Fields that can name an element of a list; the first that the element has is used."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One added, removed or changed value; ``before`` or ``after`` is None where it is absent."""

    path: str
    before: object | None
    after: object | None

    def __str__(self) -> str:
        """Format as one line that starts with ``+``, ``-`` or ``~`` (changed)."""
        if self.before is None:
            return f"+ {self.path}: {_format_element(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_format_element(self.before)}"
        return f"~ {self.path}: {short_repr(self.before)} -> {short_repr(self.after)}"


def differences(
    before: Configuration | None, after: Configuration | None
) -> tuple[Difference, ...]:
    """Return the changes from ``before`` to ``after``, without version, change id and note."""
    return tuple(_compare("", _comparable_fields(before), _comparable_fields(after)))


def _comparable_fields(configuration: Configuration | None) -> object:
    if configuration is None:
        return {}
    plain = msgspec.to_builtins(configuration)
    # Decoding doesn't distinguish an absent list from an empty one, so both compare as equal.
    return {
        name: value for name, value in plain.items() if name not in _METADATA_FIELDS and value != ()
    }


def _compare(path: str, before: object, after: object) -> Iterator[Difference]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_named(path, before, after, "{path}.{name}")
    elif _is_list_of_objects(before) and _is_list_of_objects(after):
        yield from _compare_named(path, _by_name(before), _by_name(after), "{path}[{name}]")
    else:
        yield Difference(path, before, after)


def _compare_named(
    path: str, before: dict[str, object], after: dict[str, object], pattern: str
) -> Iterator[Difference]:
    for name in {**before, **after}:
        where = pattern.format(path=path, name=name) if path else join_path(path, name)
        yield from _compare(where, before.get(name), after.get(name))


def _is_list_of_objects(value: object) -> bool:
    return isinstance(value, tuple) and all(isinstance(item, dict) for item in value)


def _by_name(items: object) -> dict[str, object]:
    """Map names to objects; a repeated name gets a numbered suffix so that no object is dropped."""
    assert isinstance(items, tuple)
    counts: Counter[str] = Counter()
    named: dict[str, object] = {}
    for item in items:
        name = _element_name(item)
        counts[name] += 1
        named[name if counts[name] == 1 else f"{name}#{counts[name]}"] = item
    return named


def _format_element(value: object) -> str:
    """Format an added or removed value.

    A list of objects is shown by the names of its elements, or by their number if there are more
    than ``_MAX_LISTED_NAMES``.
    """
    if not isinstance(value, tuple) or not _is_list_of_objects(value):
        return short_repr(value, _MAX_VALUE_LENGTH)
    names = tuple(_by_name(value))
    return ", ".join(names) if len(names) <= _MAX_LISTED_NAMES else f"{len(names)} entries"


def _element_name(item: dict[str, object]) -> str:
    value = next((item[field] for field in _NAME_FIELDS if field in item), "?")
    return "-".join(value) if isinstance(value, tuple) else str(value)
