"""Parsing and rendering of answer and configuration files, which are JSON with comments."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Mapping
from typing import Any, TypeVar

import jsonc
import msgspec

from .._contracts import Configuration
from .._decoding import guarded
from .._errors import InvalidDataError, SettingsError
from .._ids import ConfigurationVersion
from ._answers import Answers
from ._decoding import Decoded, decode
from ._generator import Generated
from ._quantities import Quantity
from ._violations import Violation, short_repr

T = TypeVar("T")

_PATH_PART = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
_VERSION_LINE = re.compile(r'^(\s*"version":\s*)\d+', re.MULTILINE)


class _DuplicateNameError(ValueError):
    """Raised when an object contains a field twice, which leaves its value ambiguous."""


def parse_document(text: str) -> object:
    """Parse JSON with comments.

    Raises SettingsError with the line and column of a syntax error or the name of a repeated field.
    """
    try:
        return guarded(lambda: jsonc.loads(text, object_pairs_hook=_object_of_unique_names))
    except InvalidDataError as error:
        raise SettingsError(_explain(error.__cause__)) from error


def _explain(cause: BaseException | None) -> str:
    if isinstance(cause, json.JSONDecodeError):
        position = f"line {cause.lineno}, column {cause.colno}"
        return f"not JSON with comments: {cause.msg} at {position}"
    if isinstance(cause, _DuplicateNameError):
        return str(cause)
    return f"not JSON with comments: {cause}"


def decode_document(expected: type[T], text: str) -> Decoded[T]:
    """Parse a file and decode it into a dataclass; all violations found are returned."""
    try:
        raw = parse_document(text)
    except SettingsError as error:
        fault = Violation("file", short_repr(text[:40]), str(error), "mend the file's syntax there")
        return Decoded(None, (fault,))
    return decode(expected, raw)


def render_generated(generated: Generated, title: str) -> str:
    """Render a generated configuration with comments that name the answer behind each value."""
    return _render(msgspec.to_builtins(generated.configuration), generated.sources, title)


def render_configuration(configuration: Configuration, title: str) -> str:
    """Render a configuration read from the store, without comments on its values."""
    return _render(msgspec.to_builtins(configuration), {}, title)


def render_answers(answers: Answers, title: str) -> str:
    """Render answers; quantities keep the text that their author wrote."""
    return _render(_answers_to_builtins(answers), {}, title)


def with_version(text: str, version: ConfigurationVersion) -> str:
    """Replace the version in the text of a configuration file and change nothing else.

    The files that this package renders have the version on a line of its own. A text without such
    a line is returned unchanged.
    """
    return _VERSION_LINE.sub(lambda match: f"{match.group(1)}{version}", text, count=1)


def _render(value: object, sources: Mapping[str, str], title: str) -> str:
    tree: dict[str | int, Any] = {}
    for path, source in sources.items():
        _put_comment(tree, path, source)
    text: str = jsonc.dumps(value, indent=2, comments=(title, tree))
    return f"{text}\n"


def _put_comment(tree: dict[str | int, Any], path: str, comment: str) -> None:
    """Add a comment at a path of the tree; a node is a pair of its comment and its child nodes."""
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


def _answers_to_builtins(value: object) -> object:
    if isinstance(value, Quantity):
        return value.text
    if isinstance(value, tuple):
        return [_answers_to_builtins(item) for item in value]
    if dataclasses.is_dataclass(value):
        given = ((field.name, getattr(value, field.name)) for field in dataclasses.fields(value))
        return {name: _answers_to_builtins(inner) for name, inner in given if inner is not None}
    return msgspec.to_builtins(value)
