"""Creates the policies that the settings enable."""

from __future__ import annotations

from dataclasses import replace

from ._policies import Policies
from ._policy_settings import PolicySettings
from ._service_state import ServiceState
from .preemption import Preemption


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    policies = Policies()
    if settings.preemption.enabled or settings.preemption.adaptive_reserve:
        policies = replace(policies, room=Preemption(settings.preemption, state))
    return policies
