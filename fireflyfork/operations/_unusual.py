"""Detects allowed values so unlike the configuration in force that they may be mistakes."""

from __future__ import annotations

from collections.abc import Iterator

from .._contracts import Configuration, TargetContract
from .._ids import ServiceName
from ._differences import differences
from ._violations import Violation, short_repr

LARGE_STEP = 8.0
"""Smallest factor between two values that is reported.

Confusing bits and bytes is a factor of 8; other common errors of units are larger.
"""

_STEP_RULE = "changes by a factor of {factor:.0f} against the version in force"
_OUTLIER_RULE = "differs from all other targets of the service, which had one value so far"


def unusual_values(current: Configuration | None, proposed: Configuration) -> tuple[Violation, ...]:
    """Return allowed values that a wrong unit or digit could have produced.

    ``current`` is None if no configuration is in force yet; then nothing is reported.
    """
    if current is None:
        return ()
    return (*_large_steps(current, proposed), *_outlier_targets(current, proposed))


def _large_steps(current: Configuration, proposed: Configuration) -> Iterator[Violation]:
    for difference in differences(current, proposed):
        factor = _factor(difference.before, difference.after)
        if factor >= LARGE_STEP:
            value = f"{short_repr(difference.before)} -> {short_repr(difference.after)}"
            rule = _STEP_RULE.format(factor=factor)
            yield Violation(difference.path, value, rule, "check the unit and the digits")


def _factor(before: object, after: object) -> float:
    """Return the factor, at least 1, between two positive numbers; 1 for any other values."""
    if isinstance(before, bool) or isinstance(after, bool):
        return 1.0
    if not isinstance(before, int | float) or not isinstance(after, int | float):
        return 1.0
    if before <= 0 or after <= 0:
        return 1.0
    return max(after / before, before / after)


def _outlier_targets(current: Configuration, proposed: Configuration) -> Iterator[Violation]:
    for service in proposed.services:
        old_targets = _targets(current, service.name)
        new_targets = _targets(proposed, service.name)
        for name in ("slots", "connections"):
            yield from _outlier_of_field(name, old_targets, new_targets)


def _outlier_of_field(
    name: str, old_targets: tuple[TargetContract, ...], new_targets: tuple[TargetContract, ...]
) -> Iterator[Violation]:
    """Yield a violation if exactly one target has a new value of the field.

    All targets of the service must have had the same value before. With fewer than three targets,
    no value counts as usual, so none is reported.
    """
    usual_values = {getattr(target, name) for target in old_targets}
    outliers = [target for target in new_targets if getattr(target, name) not in usual_values]
    if len(usual_values) == 1 and len(outliers) == 1 and len(new_targets) > 2:
        path = f"targets[{outliers[0].target_id}].{name}"
        yield Violation(
            path, short_repr(getattr(outliers[0], name)), _OUTLIER_RULE, f"keep {min(usual_values)}"
        )


def _targets(configuration: Configuration, service: ServiceName) -> tuple[TargetContract, ...]:
    return tuple(target for target in configuration.targets if target.service == service)
