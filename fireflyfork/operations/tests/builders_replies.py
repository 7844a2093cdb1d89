"""Replies that a person would type in the questionnaire to give certain answers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from enum import Enum
from typing import Any


def replies_for(answer: Any) -> Iterator[str]:
    """Yield the replies to all prompts for the fields of an object, in their order."""
    for field in dataclasses.fields(answer):
        value = getattr(answer, field.name)
        if _holds_objects(answer, field, value):
            yield from _list_replies(value)
        else:
            yield _reply(value)


def _list_replies(items: tuple[Any, ...]) -> Iterator[str]:
    for item in items:
        yield "yes"
        yield from replies_for(item)
    yield "no"


def _holds_objects(answer: Any, field: dataclasses.Field[Any], value: Any) -> bool:
    if isinstance(value, tuple) and value:
        return dataclasses.is_dataclass(value[0])
    return value == () and "Answer" in str(field.type)


def _reply(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return " ".join(_reply(item) for item in value)
    return str(value)
