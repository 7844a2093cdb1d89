"""Files of answers and configurations: JSON with comments."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Mapping
from typing import Any, TypeVar

import jsonc
import msgspec

from .._contracts import Configuration
from .._errors import SettingsError
from .._ids import ConfigurationVersion
from ._answers import Answers
from ._decoding import Decoded, decode
from ._generator import Generated
from ._quantities import Quantity
from ._violations import Violation, shown

T = TypeVar("T")

_PATH_PART = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
_VERSION_LINE = re.compile(r'^(\s*"version":\s*)\d+', re.MULTILINE)


class _DuplicateNameError(ValueError):
    """An object names a field twice, so a reader can't tell which value is meant."""


def parse_document(text: str) -> object:
    """Parse JSON with comments. Raises SettingsError with the place of the fault."""
    try:
        return jsonc.loads(text, object_pairs_hook=_object_of_unique_names)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        raise SettingsError(f"not JSON with comments: {error.msg} at {place}") from error
    except _DuplicateNameError as error:
        raise SettingsError(str(error)) from error


def decode_document(expected: type[T], text: str) -> Decoded[T]:
    """Parse and decode a file into a dataclass; every fault is reported."""
    try:
        raw = parse_document(text)
    except SettingsError as error:
        fault = Violation("file", shown(text[:40]), str(error), "mend the file's syntax there")
        return Decoded(None, (fault,))
    return decode(expected, raw)


def render_generated(generated: Generated, title: str) -> str:
    """The file of a generated configuration; comments say which answer each value came from."""
    return _render(msgspec.to_builtins(generated.configuration), generated.sources, title)


def render_configuration(configuration: Configuration, title: str) -> str:
    """The file of a configuration that came from the store."""
    return _render(msgspec.to_builtins(configuration), {}, title)


def render_answers(answers: Answers, title: str) -> str:
    """The file of answers, as its author wrote the quantities."""
    return _render(_plain_answers(answers), {}, title)


def with_version(text: str, version: ConfigurationVersion) -> str:
    """The text of a configuration file with another version; all else stays as its author has it.

    The version stands on a line of its own in the files that this package writes. A file without
    such a line is returned as it is.
    """
    return _VERSION_LINE.sub(lambda match: f"{match.group(1)}{version}", text, count=1)


def _render(value: object, sources: Mapping[str, str], title: str) -> str:
    tree: dict[str | int, Any] = {}
    for path, source in sources.items():
        _put_comment(tree, path, source)
    text: str = jsonc.dumps(value, indent=2, comments=(title, tree))
    return f"{text}\n"


def _put_comment(tree: dict[str | int, Any], path: str, comment: str) -> None:
    """Add a comment at a path; each node is a pair of its own comment and its inner ones."""
    keys = [name or int(index) for name, index in _PATH_PART.findall(path)]
    node = tree
    for key in keys[:-1]:
        node = node.setdefault(key, (None, {}))[1]
    inner = node.get(keys[-1], (None, {}))[1]
    node[keys[-1]] = (comment, inner)


def _object_of_unique_names(pairs: list[tuple[str, object]]) -> dict[str, object]:
    names = [name for name, _ in pairs]
    twice = {name for name in names if names.count(name) > 1}
    if twice:
        raise _DuplicateNameError(f"the field {min(twice)!r} is given twice in one object")
    return dict(pairs)


def _plain_answers(value: object) -> object:
    if isinstance(value, Quantity):
        return value.text
    if isinstance(value, tuple):
        return [_plain_answers(item) for item in value]
    if dataclasses.is_dataclass(value):
        given = ((field.name, getattr(value, field.name)) for field in dataclasses.fields(value))
        return {name: _plain_answers(inner) for name, inner in given if inner is not None}
    return msgspec.to_builtins(value)
