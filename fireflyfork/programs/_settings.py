"""Loads settings files: JSON with comments, decoded to typed dataclasses."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import jsonc
import msgspec

from .._decoding import guarded
from .._errors import InvalidDataError, SettingsError

EXIT_BAD_SETTINGS = 2

SettingsType = TypeVar("SettingsType")


def decode_settings(text: str, settings_type: type[SettingsType], source: str) -> SettingsType:
    """Decode ``text``. Raises SettingsError with the path, the value and what was expected."""
    try:
        raw = guarded(lambda: jsonc.loads(text))
    except InvalidDataError as error:
        raise SettingsError(f"{source}: not JSON with comments: {error}") from error
    try:
        return msgspec.convert(raw, settings_type)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {_explain(str(error), raw)}") from error


def load_settings(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Read and decode the settings file at ``path``. Raises SettingsError."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    return decode_settings(text, settings_type, str(path))


def load_settings_or_exit(
    path: Path,
    settings_type: type[SettingsType],
    check: Callable[[SettingsType], None] | None = None,
) -> SettingsType:
    """Like ``load_settings``, but exit with status 2 and a message on stderr if the file is invalid.

    ``check`` raises SettingsError for values that the types allow but the program doesn't.
    """
    try:
        settings = load_settings(path, settings_type)
        if check is not None:
            check(settings)
        return settings
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def _explain(message: str, raw: object) -> str:
    expectation, separator, place = message.partition(" - at `")
    path = place.rstrip("`") if separator else "$"
    return f"{path}: value {_value_at(raw, path)!r}: {expectation}"


def _value_at(raw: object, path: str) -> object:
    value = raw
    for step in path.removeprefix("$").replace("[", ".[").split("."):
        if step.startswith("[") and step[1:-1].isdigit() and isinstance(value, list):
            value = value[int(step[1:-1])]
        elif step and isinstance(value, dict):
            value = value.get(step)
    return value
