"""Which jobs are refused when they arrive, and when their callers should return."""

from ._admission import Admission, AdmissionDecision
from ._figures import RoomRow, WorkFigures, WorkRow, decode_figures, encode_figures
from ._outages import OutageHistory
from ._refused_jobs import RefusedJobs
from ._work_ahead import WorkAhead

__all__ = [
    "Admission",
    "AdmissionDecision",
    "OutageHistory",
    "RefusedJobs",
    "RoomRow",
    "WorkAhead",
    "WorkFigures",
    "WorkRow",
    "decode_figures",
    "encode_figures",
]
