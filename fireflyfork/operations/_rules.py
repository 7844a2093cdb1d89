"""Kinds of validation rules; a rule is stated over a domain and finds the values that break it.

A domain is a path with wildcards, such as ``services[*].name``. The separation of the constraint
from the selection of the constrained values follows Huang et al., "ConfValley: A Systematic
Configuration Validation Framework for Cloud Services" (EuroSys 2015).
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
    """A value and its path in the configuration."""

    path: str
    value: T


def located(configuration: Configuration, domain: str) -> Iterator[Located[Any]]:
    """Return the values of a domain; ``[*]`` matches each element, and None is left out."""
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
    """A constraint on the values of a configuration."""

    text: str
    """The constraint, as the end of a sentence whose subject is the value."""
    fix: str
    """The likely fix, as an instruction to the operator."""

    @abstractmethod
    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value that breaks this rule."""

    def violation(self, path: str, value: object, fix: str = "") -> Violation:
        """Return a violation of this rule; a non-empty ``fix`` replaces the rule's fix."""
        return Violation(path, shown(value), self.text, fix or self.fix)


@dataclass(frozen=True, slots=True)
class PatternRule(Rule):
    """Each string of a domain must match a regular expression in full."""

    domain: str
    pattern: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each string that doesn't match the pattern."""
        for text in located(configuration, self.domain):
            if not re.fullmatch(self.pattern, text.value):
                yield self.violation(text.path, text.value)


@dataclass(frozen=True, slots=True)
class RangeRule(Rule):
    """Each number of a domain must lie between two inclusive bounds."""

    domain: str
    least: float
    most: float

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each number outside the range, and for NaN."""
        for number in located(configuration, self.domain):
            # Comparisons with NaN are false, so a test for values outside the range would miss NaN.
            if not self.least <= number.value <= self.most:
                yield self.violation(number.path, number.value)


@dataclass(frozen=True, slots=True)
class UniqueRule(Rule):
    """The values of a domain must be unique."""

    domain: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each repeated value; the fix names its first path."""
        first: dict[Any, str] = {}
        for item in located(configuration, self.domain):
            earlier = first.setdefault(item.value, item.path)
            if earlier != item.path:
                yield self.violation(item.path, item.value, f"{self.fix}; {earlier} has it too")


@dataclass(frozen=True, slots=True)
class ReferenceRule(Rule):
    """Each value of a domain must occur in another domain."""

    domain: str
    among: str

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value not in the other domain; the fix lists known values."""
        known = {item.value for item in located(configuration, self.among)}
        for item in located(configuration, self.domain):
            if item.value not in known:
                names = ", ".join(sorted(map(str, known))) or "none"
                yield self.violation(item.path, item.value, f"{self.fix}; known are {names}")


@dataclass(frozen=True, slots=True)
class RelationRule(Rule):
    """A rule on several values, with a generator that yields the values that break it."""

    domain: str
    """The values that the rule reports, for the reference page only."""
    find: Callable[[Configuration], Iterator[Located[Any]]]

    def broken_by(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value that the generator finds."""
        for item in self.find(configuration):
            yield self.violation(item.path, item.value)
