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
from ._violations import Violation, short_repr

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LocatedValue(Generic[T]):
    """A value and its path in the configuration."""

    path: str
    value: T


def values_of_domain(configuration: Configuration, domain: str) -> Iterator[LocatedValue[Any]]:
    """Return the values of a domain; ``[*]`` matches each element, and None is skipped."""
    selected = [LocatedValue("", configuration)]
    for step in domain.split("."):
        selected = [nested for container in selected for nested in _step(container, step)]
    return iter(selected)


def _step(container: LocatedValue[Any], step: str) -> Iterator[LocatedValue[Any]]:
    name, wildcard, _ = step.partition("[*]")
    value = getattr(container.value, name)
    path = f"{container.path}.{name}" if container.path else name
    if value is None:
        return
    if not wildcard:
        yield LocatedValue(path, value)
        return
    for index, item in enumerate(value):
        yield LocatedValue(f"{path}[{index}]", item)


@dataclass(frozen=True, slots=True)
class Rule(ABC):
    """A constraint on the values of a configuration."""

    text: str
    """The constraint, as the end of a sentence whose subject is the value."""
    fix: str
    """The likely fix, as an instruction to the operator."""

    @abstractmethod
    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value that breaks this rule."""

    def violation(self, path: str, value: object, fix: str = "") -> Violation:
        """Return a violation of this rule; a non-empty ``fix`` replaces the rule's fix."""
        return Violation(path, short_repr(value), self.text, fix or self.fix)


@dataclass(frozen=True, slots=True)
class PatternRule(Rule):
    """Each string of a domain must match a regular expression in full."""

    domain: str
    pattern: str

    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each string that doesn't match the pattern."""
        for text in values_of_domain(configuration, self.domain):
            if not re.fullmatch(self.pattern, text.value):
                yield self.violation(text.path, text.value)


@dataclass(frozen=True, slots=True)
class RangeRule(Rule):
    """Each number of a domain must lie between two inclusive bounds."""

    domain: str
    minimum: float
    maximum: float

    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each number outside the range, and for NaN."""
        for number in values_of_domain(configuration, self.domain):
            # Comparisons with NaN are false, so a test for values outside the range would miss NaN.
            if not self.minimum <= number.value <= self.maximum:
                yield self.violation(number.path, number.value)


@dataclass(frozen=True, slots=True)
class UniqueRule(Rule):
    """The values of a domain must be unique."""

    domain: str

    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each repeated value; the fix names its first path."""
        first: dict[Any, str] = {}
        for item in values_of_domain(configuration, self.domain):
            earlier = first.setdefault(item.value, item.path)
            if earlier != item.path:
                yield self.violation(item.path, item.value, f"{self.fix}; {earlier} has it too")


@dataclass(frozen=True, slots=True)
class ReferenceRule(Rule):
    """Each value of a domain must occur in another domain."""

    domain: str
    referenced_domain: str

    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value not in the other domain; the fix lists known values."""
        known = {item.value for item in values_of_domain(configuration, self.referenced_domain)}
        for item in values_of_domain(configuration, self.domain):
            if item.value not in known:
                names = ", ".join(sorted(map(str, known))) or "none"
                yield self.violation(item.path, item.value, f"{self.fix}; known are {names}")


@dataclass(frozen=True, slots=True)
class RelationRule(Rule):
    """A rule on several values, with a generator that yields the values that break it."""

    domain: str
    """The values that the rule reports, for the reference page only."""
    find_broken: Callable[[Configuration], Iterator[LocatedValue[Any]]]

    def find_violations(self, configuration: Configuration) -> Iterator[Violation]:
        """Yield a violation for each value that the generator finds."""
        for item in self.find_broken(configuration):
            yield self.violation(item.path, item.value)
