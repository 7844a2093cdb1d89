"""Kinds of rules: a rule is stated once over a domain and finds every value that breaks it.

A domain is a path with wildcards, such as ``services[*].name``, as in Huang et al., "ConfValley: A
Systematic Configuration Validation Framework for Cloud Services" (EuroSys 2015), whose language
separates what must hold from the search for the values it must hold for.
"""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from .._contracts import Configuration
from ._violations import Violation, shown

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Located(Generic[T]):
    """A value and where it stands."""

    path: str
    value: T


def located(configuration: Configuration, domain: str) -> Iterator[Located[Any]]:
    """The values of a domain. ``[*]`` stands for each element; a value of None is left out."""
    found = [Located("", configuration)]
    for step in domain.split("."):
        found = [inner for outer in found for inner in _step(outer, step)]
    return iter(found)


def _step(outer: Located[Any], step: str) -> Iterator[Located[Any]]:
    name, wildcard, _ = step.partition("[*]")
    value = getattr(outer.value, name)
    path = f"{outer.path}.{name}" if outer.path else name
    if value is None:
        return
    if not wildcard:
        yield Located(path, value)
        return
    for index, item in enumerate(value):
        yield Located(f"{path}[{index}]", item)


@dataclass(frozen=True, slots=True)
class Rule(ABC):
    """Something that must hold of every configuration."""

    text: str
    """What must hold, as the end of a sentence about the value."""
    fix: str
    """The likely fix."""

    @abstractmethod
    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Every value that breaks this rule."""

    def violation(self, path: str, value: object, fix: str = "") -> Violation:
        """One violation of this rule, with a ``fix`` of its own where there is one."""
        return Violation(path, shown(value), self.text, fix or self.fix)


@dataclass(frozen=True, slots=True)
class PatternRule(Rule):
    """Each text of a domain matches a pattern as a whole."""

    domain: str
    pattern: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """See Rule."""
        for text in located(configuration, self.domain):
            if not re.fullmatch(self.pattern, text.value):
                yield self.violation(text.path, text.value)


@dataclass(frozen=True, slots=True)
class RangeRule(Rule):
    """Each number of a domain lies between two bounds, which belong to the range."""

    domain: str
    least: float
    most: float

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """See Rule."""
        for number in located(configuration, self.domain):
            # A comparison with NaN is false, so the range is asked for, not its outside.
            if not self.least <= number.value <= self.most:
                yield self.violation(number.path, number.value)


@dataclass(frozen=True, slots=True)
class UniqueRule(Rule):
    """No value of a domain occurs twice."""

    domain: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """See Rule."""
        first: dict[Any, str] = {}
        for item in located(configuration, self.domain):
            earlier = first.setdefault(item.value, item.path)
            if earlier != item.path:
                yield self.violation(item.path, item.value, f"{self.fix}; {earlier} has it too")


@dataclass(frozen=True, slots=True)
class ReferenceRule(Rule):
    """Each value of a domain is among those of another."""

    domain: str
    among: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """See Rule."""
        known = {item.value for item in located(configuration, self.among)}
        for item in located(configuration, self.domain):
            if item.value not in known:
                names = ", ".join(sorted(map(str, known))) or "none"
                yield self.violation(item.path, item.value, f"{self.fix}; known are {names}")


@dataclass(frozen=True, slots=True)
class RelationRule(Rule):
    """Whatever needs more than one value: a generator finds what breaks the rule."""

    domain: str
    """The values that are wrong when it is broken; for the reference only."""
    find: Callable[[Configuration], Iterator[Located[Any]]]

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """See Rule."""
        for item in self.find(configuration):
            yield self.violation(item.path, item.value)
