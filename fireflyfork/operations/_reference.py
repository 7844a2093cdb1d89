"""Generates the reference page of configurations and answers from types, docstrings and rules."""

from __future__ import annotations

import ast
import dataclasses
import inspect
import textwrap
import typing
from collections.abc import Iterator
from enum import Enum
from typing import Any

from .._contracts import Configuration
from ._answers import Answers, question_of
from ._checks import RULES
from ._decoding import type_hints
from ._rules import PatternRule, RangeRule, ReferenceRule, RelationRule, Rule, UniqueRule

_HEAD = """\
# Reference: configuration and answers

Made by `python scripts/configuration_reference.py` from the types and rules; don't edit it.

A configuration file is JSON with comments. `fireflyfork-ctl questionnaire` writes one from answers,
`fireflyfork-ctl check` checks it and `fireflyfork-ctl apply` puts it in force.
"""


def configuration_reference() -> str:
    """Return the reference page in Markdown."""
    return "\n".join([_HEAD, *_configuration_lines(), *_rule_lines(), *_answer_lines()]) + "\n"


def _configuration_lines() -> Iterator[str]:
    yield "## Configuration\n"
    for kind in _nested_dataclasses(Configuration):
        yield f"### {kind.__name__}\n\n{_summary(kind)}\n"
        yield "| field | type | default | meaning |\n|---|---|---|---|"
        docstrings = _field_docstrings(kind)
        hints = type_hints(kind)
        for field in dataclasses.fields(kind):
            cells = (
                f"`{field.name}`",
                _type_name(hints[field.name]),
                _default(field),
                docstrings.get(field.name, ""),
            )
            yield f"| {' | '.join(map(_cell, cells))} |"
        yield ""


def _rule_lines() -> Iterator[str]:
    yield "## Rules\n\n| domain | rule | likely fix |\n|---|---|---|"
    for rule in RULES:
        cells = (f"`{_domain(rule)}`", rule.text, rule.fix)
        yield f"| {' | '.join(map(_cell, cells))} |"
    yield ""


def _answer_lines() -> Iterator[str]:
    yield "## Answers\n"
    for kind in _nested_dataclasses(Answers):
        yield f"### {kind.__name__}\n\n{_summary(kind)}\n"
        yield "| answer | type | default | question | what it changes |\n|---|---|---|---|---|"
        hints = type_hints(kind)
        for field in dataclasses.fields(kind):
            question = question_of(field)
            cells = (
                f"`{field.name}`",
                _type_name(hints[field.name]),
                _default(field),
                question.prompt,
                question.why,
            )
            yield f"| {' | '.join(map(_cell, cells))} |"
        yield ""


def _nested_dataclasses(kind: Any) -> tuple[Any, ...]:
    """Return a dataclass and all dataclasses nested in its fields, each once, outermost first."""
    kinds = [kind]
    for parent in kinds:
        for hint in type_hints(parent).values():
            kinds += [part for part in _parts(hint) if _is_record(part) and part not in kinds]
    return tuple(kinds)


def _parts(hint: Any) -> Iterator[Any]:
    yield hint
    for argument in typing.get_args(hint):
        yield from _parts(argument)


def _is_record(kind: Any) -> bool:
    return dataclasses.is_dataclass(kind) and not hasattr(kind, "units")


def _summary(kind: Any) -> str:
    return " ".join((inspect.getdoc(kind) or "").split())


def _field_docstrings(kind: Any) -> dict[str, str]:
    """Return the docstrings below the fields of a class by field name."""
    (definition,) = ast.parse(textwrap.dedent(inspect.getsource(kind))).body
    assert isinstance(definition, ast.ClassDef)
    docstrings: dict[str, str] = {}
    for statement, successor in zip(definition.body, definition.body[1:], strict=False):
        text = _text_of(successor)
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name) and text:
            docstrings[statement.target.id] = inspect.cleandoc(text).replace("\n", " ")
    return docstrings


def _text_of(statement: ast.stmt) -> str:
    is_text = isinstance(statement, ast.Expr) and isinstance(statement.value, ast.Constant)
    return str(statement.value.value) if is_text else ""  # type: ignore[attr-defined]


def _type_name(hint: Any) -> str:
    if hint is type(None):
        return "absent"
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple:
        inner = [_type_name(each) for each in arguments if each is not Ellipsis]
        return f"list of {inner[0]}" if Ellipsis in arguments else f"pair of {inner[0]}"
    if arguments:
        return " or ".join(map(_type_name, arguments))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return ", ".join(f"`{member.value}`" for member in hint)
    if hasattr(hint, "units"):
        return f"{hint.__name__}, such as `{hint.example()}`"
    return {str: "text", int: "whole number", float: "number", bool: "true or false"}.get(
        getattr(hint, "__supertype__", hint), getattr(hint, "__name__", str(hint))
    )


def _default(field: dataclasses.Field[Any]) -> str:
    if field.default_factory is not dataclasses.MISSING:
        return _value(field.default_factory())
    return "required" if field.default is dataclasses.MISSING else _value(field.default)


def _value(value: Any) -> str:
    if value is None:
        return "absent"
    if dataclasses.is_dataclass(value) and not hasattr(value, "units"):
        return "its defaults"
    if isinstance(value, tuple):
        return ", ".join(map(_value, value)) or "empty"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    shown = str(value.value if isinstance(value, Enum) else value)
    return f"`{shown}`" if shown else "empty"


def _domain(rule: Rule) -> str:
    assert isinstance(rule, PatternRule | RangeRule | UniqueRule | ReferenceRule | RelationRule)
    return rule.domain


def _cell(text: str) -> str:
    return text.replace("|", "\\|")
