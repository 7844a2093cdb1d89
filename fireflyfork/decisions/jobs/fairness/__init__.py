"""Fair shares of queues under contention, and reservations for jobs that wait long."""

from ._policy import FairnessPolicy

__all__ = ["FairnessPolicy"]
