"""On which evidence a run is taken to be over."""

from __future__ import annotations

from enum import Enum


class RunOver(Enum):
    """Why the next run of a task could begin."""

    NO_RUN = ""
    """This owner knows of no earlier run."""
    ENDED = "its end was listed"
    REFUSED = "its start was refused"
    NOT_LISTED = "its stop was acknowledged and it is not listed"
    LEASE_LAPSED = "its lease lapsed"
    NEW_INCARNATION = "its executor has started anew"
