"""Loads the file that enables policies: JSON with comments, checked."""

from __future__ import annotations

from pathlib import Path

import jsonc
import msgspec

from .._decoding import guarded
from .._errors import InvalidDataError, SettingsError
from ..decisions.jobs import PolicySettings


def load_policies(path: Path) -> PolicySettings:
    """Read the settings of the policies. Raises SettingsError, which names the invalid field."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    policies = _decode(text, str(path))
    check_policies(policies)
    return policies


def check_policies(policies: PolicySettings) -> None:
    """Check the rules that the types don't express. Raises SettingsError."""
    _check_range("preemption.max_stopped_share", policies.preemption.max_stopped_share, 0.0, 1.0)
    age = policies.admission.max_figures_age_seconds
    _check_range("admission.max_figures_age_seconds", age, 0.1, 60.0)
    _check_range("admission.margin", policies.admission.margin, 0.0, 10.0)
    after = policies.fairness.reservation_after_chains
    _check_range("fairness.reservation_after_chains", after, 0.1, 100.0)
    for queue, weight in policies.fairness.weights.items():
        _check_range(f"fairness.weights.{queue}", weight, 0.01, 100.0)


def _decode(text: str, source: str) -> PolicySettings:
    try:
        raw = guarded(lambda: jsonc.loads(text))
    except InvalidDataError as error:
        raise SettingsError(f"{source}: not JSON with comments: {error}") from error
    _check_names(raw, PolicySettings(), "$", source)
    try:
        return msgspec.convert(raw, PolicySettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {error}") from error


def _check_names(raw: object, defaults: object, path: str, source: str) -> None:
    """Raise SettingsError for a field that no policy has, so that a misspelt one isn't ignored."""
    known = getattr(defaults, "__dataclass_fields__", None)
    if not isinstance(raw, dict) or known is None:
        return
    for name, value in raw.items():
        if name not in known:
            raise SettingsError(f"{source}: {path}.{name}: no such setting")
        _check_names(value, getattr(defaults, name), f"{path}.{name}", source)


def _check_range(name: str, value: float, lowest: float, highest: float) -> None:
    if not lowest <= value <= highest:
        raise SettingsError(f"$.{name}: value {value}: expected {lowest} to {highest}")
