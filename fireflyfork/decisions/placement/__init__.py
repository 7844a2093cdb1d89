"""The placement policy: which worker runs what, and what yields when work interferes."""

from ._classes import TaskClass
from ._policy import InterferenceAwarePolicy
from ._policy_settings import PolicySettings, Relief

__all__ = ["InterferenceAwarePolicy", "PolicySettings", "Relief", "TaskClass"]
