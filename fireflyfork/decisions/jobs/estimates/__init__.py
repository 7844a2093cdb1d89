"""Estimates of how executors and steps behave, learned from the ends of their runs."""

from ._learned_estimates import LearnedEstimates

__all__ = ["LearnedEstimates"]
