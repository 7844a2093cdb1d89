"""What is stored of the shares of queues for the next owner of a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

ShareId = NewType("ShareId", str)
"""Names who shares the room of a service: a queue, as long as requests name no account."""


@dataclass(frozen=True, slots=True)
class StoredShare:
    """One share, as stored with the learned interference."""

    share: ShareId
    recent_use: float
    """Recent share of the service's dominant resource, from 0 to 1."""
    duration_ratio: float
    """Actual by estimated run time of the share's tasks."""
