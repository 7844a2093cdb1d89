"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import OrderPolicy, Policies
from ._policy_settings import PolicySettings
from ._service_state import ServiceState
from .fairness import FairnessPolicy


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    fairness = settings.fairness
    order = FairnessPolicy(fairness, state) if fairness.enabled else OrderPolicy()
    return Policies(order=order)
