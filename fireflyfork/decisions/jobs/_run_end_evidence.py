"""The evidence on which a run is taken to be over."""

from __future__ import annotations

from enum import Enum


class RunEndEvidence(Enum):
    """Why the next run of a task may begin."""

    NO_RUN = ""
    """This owner has not seen an earlier run of the task."""
    ENDED = "its end was listed"
    REFUSED = "its start was refused"
    NOT_LISTED = "its stop was acknowledged and it is not listed"
    LEASE_LAPSED = "its lease lapsed"
    NEW_INCARNATION = "its executor has started anew"
