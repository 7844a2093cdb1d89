"""Decodes the operator's requests to evacuate failure domains. Only the key carries information."""

from __future__ import annotations

from .._ids import FailureDomainName
from ._names import EVACUATION_PREFIX


def evacuated_domain(key: str) -> FailureDomainName | None:
    """Return the failure domain that the request under ``key`` names, or None for other keys."""
    name = key.removeprefix(EVACUATION_PREFIX)
    return FailureDomainName(name) if name and name != key else None
