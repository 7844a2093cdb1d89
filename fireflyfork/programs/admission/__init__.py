"""Refuses jobs on the instance that receives them, by the figures of the owner."""

from ._figures_reader import FiguresReader
from ._submission_gate import SubmissionGate, create_gate

__all__ = ["FiguresReader", "SubmissionGate", "create_gate"]
