"""The interactive questionnaire without its terminal: yields prompts and parses replies.

The questions are metadata of the answers' fields. This module walks the fields and parses each
reply according to the type of its field.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ._answers import Answers, question_of
from ._decoding import inner_type, is_optional, is_quantity, type_hints

_YES = frozenset({"y", "yes", "true"})
_NO = frozenset({"n", "no", "false", ""})


@dataclass(frozen=True, slots=True)
class Prompt:
    """One question to show to a person."""

    path: str
    """Path of the answer that the reply sets, such as ``services[0].timeout``."""
    text: str
    why: str
    """What the answer changes, shown together with the text."""
    default: str | None
    """The value of an empty reply, or None if a reply is required."""
    error: str = ""
    """Why the previous reply to this question was rejected; empty for the first try."""


Interview = Generator[Prompt, str, Any]
"""A generator that yields prompts, receives replies and returns the parsed value."""


def interview() -> Generator[Prompt, str, Answers]:
    """Ask for all answers; the caller sends one reply for each prompt yielded."""
    answers = yield from _ask_object(Answers, "")
    assert isinstance(answers, Answers)
    return answers


def _ask_object(kind: Any, path: str) -> Interview:
    hints = type_hints(kind)
    values: dict[str, Any] = {}
    for field in dataclasses.fields(kind):
        where = f"{path}.{field.name}" if path else field.name
        values[field.name] = yield from _ask_field(field, hints[field.name], where)
    return kind(**values)


def _ask_field(field: dataclasses.Field[Any], kind: Any, path: str) -> Interview:
    question = question_of(field)
    element = _element_type(kind)
    if element is not None and dataclasses.is_dataclass(element):
        return (yield from _ask_list(element, path, question.prompt, question.why))
    default = _default(field)
    prompt = Prompt(
        path, question.prompt + _example_suffix(kind), question.why, _format_default(default)
    )
    while True:
        reply = (yield prompt).strip()
        if not reply and prompt.default is not None:
            return default
        try:
            return _parse_reply(kind, reply)
        except ValueError as error:
            prompt = dataclasses.replace(prompt, error=f"{reply!r}: {error}")


def _ask_list(element: Any, path: str, text: str, why: str) -> Interview:
    """Ask for objects until the reply to "add another?" is no."""
    items: list[Any] = []
    while True:
        prompt = f"{text}: add {'another' if items else 'one'}? yes or no"
        add_prompt = Prompt(f"{path}[{len(items)}]", prompt, why, "no")
        if not (yield from _ask_yes_or_no(add_prompt)):
            return tuple(items)
        items.append((yield from _ask_object(element, add_prompt.path)))


def _ask_yes_or_no(prompt: Prompt) -> Generator[Prompt, str, bool]:
    while True:
        reply = (yield prompt).strip()
        try:
            return _parse_yes_or_no(reply)
        except ValueError as error:
            prompt = dataclasses.replace(prompt, error=f"{reply!r}: {error}")


def _example_suffix(kind: Any) -> str:
    """Return an example to append to the prompt of a quantity; empty for other types."""
    value_type = inner_type(kind) if is_optional(kind) else kind
    return f", such as {value_type.example()}" if is_quantity(value_type) else ""


def _parse_reply(kind: Any, reply: str) -> Any:
    """Parse a reply as a value of type ``kind``.

    Raises ValueError whose message states the expected format.
    """
    if is_optional(kind):
        return _parse_reply(inner_type(kind), reply) if reply else None
    if typing.get_origin(kind) is tuple:
        return _parse_words(kind, reply.replace(",", " ").split())
    if is_quantity(kind):
        return kind.parse(reply)
    if kind is bool:
        return _parse_yes_or_no(reply)
    if kind is int:
        return _parse_whole_number(reply)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _parse_enum_member(kind, reply)
    if not reply:
        raise ValueError("an answer is needed")
    return reply


def _parse_words(kind: Any, words: list[str]) -> tuple[Any, ...]:
    arguments = typing.get_args(kind)
    if arguments[-1] is not Ellipsis and len(words) != len(arguments):
        raise ValueError(f"expected {len(arguments)} words")
    return tuple(_parse_reply(arguments[0], word) for word in words)


def _parse_yes_or_no(reply: str) -> bool:
    if reply.lower() not in _YES | _NO:
        raise ValueError("expected yes or no")
    return reply.lower() in _YES


def _parse_whole_number(reply: str) -> int:
    if not reply.isascii() or not reply.isdigit():
        raise ValueError("expected a whole number")
    return int(reply)


def _parse_enum_member(kind: type[Enum], reply: str) -> Enum:
    try:
        return kind(reply)
    except ValueError:
        names = ", ".join(str(member.value) for member in kind)
        raise ValueError(f"expected one of {names}") from None


def _element_type(kind: Any) -> Any:
    """Return the element type of a variable-length tuple, or None for any other type."""
    arguments = typing.get_args(kind)
    is_list = typing.get_origin(kind) is tuple and arguments[-1] is Ellipsis
    return arguments[0] if is_list else None


def _default(field: dataclasses.Field[Any]) -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def _format_default(default: Any) -> str | None:
    """Format a default for its prompt, or return None if a reply is required."""
    if default is dataclasses.MISSING:
        return None
    if default is None:
        return ""
    if isinstance(default, bool):
        return "yes" if default else "no"
    if isinstance(default, Enum):
        return str(default.value)
    if isinstance(default, tuple):
        return " ".join(_format_default(item) or "" for item in default)
    return str(default)
