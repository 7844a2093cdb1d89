"""The placement policy: decides which worker runs a task, and which work is throttled or evicted
when tasks interfere."""

from ._classes import TaskClass
from ._policy import InterferenceAwarePolicy
from ._policy_settings import PolicySettings, Relief

__all__ = ["InterferenceAwarePolicy", "PolicySettings", "Relief", "TaskClass"]
