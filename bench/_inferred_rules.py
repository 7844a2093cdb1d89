"""Rules inferred from accepted configurations, of the kinds that ConfValley infers.

The rules cover data types, non-emptiness, value ranges, enumerations, equality between parameters,
uniqueness and consistency. The heuristics are those of the ConfValley paper (section 4.3): an
enumeration needs ``ln(values) >= distinct values``, and equality ignores short values and
parameters with few values.
"""

from __future__ import annotations

import ipaddress
import math
import re
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations

from fireflyfork.operations import iter_leaves

Plain = dict[str, object]
Values = Mapping[str, tuple[object, ...]]
"""Values of one configuration by parameter, a path with ``[*]`` in place of list indexes."""

_INDEX = re.compile(r"\[\d+\]")
_MAX_ENUMERATED_VALUES = 10
_SHORTEST_EQUAL = 6
_FEWEST_EQUAL_INSTANCES = 20
_BOOKKEEPING = frozenset({"version", "change_id", "note"})


def group_values(configuration: Plain) -> Values:
    """Group the values of a configuration by parameter, without version, change id and note."""
    grouped: dict[str, list[object]] = {}
    for path, value in iter_leaves(configuration):
        name = _INDEX.sub("[*]", path)
        if name not in _BOOKKEEPING:
            grouped.setdefault(name, []).append(value)
    return {name: tuple(values) for name, values in grouped.items()}


@dataclass(frozen=True, slots=True)
class InferredRule(ABC):
    """An inferred rule about one parameter."""

    parameter: str

    @abstractmethod
    def is_broken_by(self, values: Values) -> bool:
        """Return whether a configuration with these values breaks the rule."""

    def parameter_values(self, values: Values) -> tuple[object, ...]:
        """Return the values of the rule's parameter, empty if the configuration has none."""
        return values.get(self.parameter, ())


@dataclass(frozen=True, slots=True)
class TypeRule(InferredRule):
    """Requires every value to have the kind that all accepted values have."""

    kind: str

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return any(_kind(value) != self.kind for value in self.parameter_values(values))


@dataclass(frozen=True, slots=True)
class NonEmptyRule(InferredRule):
    """Requires every value to be neither an empty string nor None."""

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return any(value in ("", None) for value in self.parameter_values(values))


@dataclass(frozen=True, slots=True)
class InferredRangeRule(InferredRule):
    """Requires every number to lie between the smallest and the largest accepted one."""

    min_value: float
    max_value: float

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        numbers = (value for value in self.parameter_values(values) if _is_number(value))
        return any(not self.min_value <= float(str(number)) <= self.max_value for number in numbers)


@dataclass(frozen=True, slots=True)
class EnumerationRule(InferredRule):
    """Requires every value to be one of the accepted values."""

    accepted_values: frozenset[object]

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return any(value not in self.accepted_values for value in self.parameter_values(values))


@dataclass(frozen=True, slots=True)
class UniquenessRule(InferredRule):
    """Requires the values of a configuration to be distinct."""

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return len(set(self.parameter_values(values))) < len(self.parameter_values(values))


@dataclass(frozen=True, slots=True)
class ConsistencyRule(InferredRule):
    """Requires all values of a configuration to be equal."""

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return len(set(self.parameter_values(values))) > 1


@dataclass(frozen=True, slots=True)
class EqualityRule(InferredRule):
    """Requires two parameters to have the same sequence of values."""

    other_parameter: str

    def is_broken_by(self, values: Values) -> bool:
        """Return whether the values break the rule."""
        return self.parameter_values(values) != values.get(self.other_parameter, ())


def infer(history: Iterable[Values]) -> tuple[InferredRule, ...]:
    """Return all rules that every configuration of ``history`` satisfies."""
    accepted = tuple(history)
    names = sorted(set().union(*accepted))
    rules = [rule for name in names for rule in _single_parameter_rules(name, accepted)]
    rules += _equality_rules(names, accepted)
    return tuple(rules)


def _single_parameter_rules(name: str, accepted: tuple[Values, ...]) -> Iterator[InferredRule]:
    instances = tuple(values.get(name, ()) for values in accepted)
    pooled = tuple(value for values in instances for value in values)
    kinds = {_kind(value) for value in pooled}
    if len(kinds) == 1:
        yield TypeRule(name, min(kinds))
    if all(value not in ("", None) for value in pooled):
        yield NonEmptyRule(name)
    if all(_is_number(value) for value in pooled):
        numbers = [float(str(value)) for value in pooled]
        yield InferredRangeRule(name, min(numbers), max(numbers))
    distinct = frozenset(pooled)
    if math.log(len(pooled)) >= len(distinct) and len(distinct) <= _MAX_ENUMERATED_VALUES:
        yield EnumerationRule(name, distinct)
    yield from _list_rules(name, tuple(values for values in instances if len(values) > 1))


def _list_rules(name: str, instances: tuple[tuple[object, ...], ...]) -> Iterator[InferredRule]:
    if instances and all(len(set(values)) == len(values) for values in instances):
        yield UniquenessRule(name)
    if instances and all(len(set(values)) == 1 for values in instances):
        yield ConsistencyRule(name)


def _equality_rules(names: list[str], accepted: tuple[Values, ...]) -> Iterator[InferredRule]:
    for parameter, other_parameter in combinations(names, 2):
        pairs = [
            (values.get(parameter, ()), values.get(other_parameter, ())) for values in accepted
        ]
        if all(first == second for first, second in pairs) and _is_significant(pairs):
            yield EqualityRule(parameter, other_parameter)


def _is_significant(pairs: list[tuple[tuple[object, ...], tuple[object, ...]]]) -> bool:
    pooled = [value for first, _ in pairs for value in first]
    long_enough = all(len(str(value)) >= _SHORTEST_EQUAL for value in pooled)
    return long_enough and len(pooled) >= _FEWEST_EQUAL_INSTANCES


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _kind(value: object) -> str:
    if isinstance(value, str) and _is_address(value):
        return "address"
    if isinstance(value, int | float) and not isinstance(value, bool):
        return "number"
    return type(value).__name__


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit()
