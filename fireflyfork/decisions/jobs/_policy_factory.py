"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import EstimatePolicy, Policies
from ._policy_settings import PolicySettings
from ._service_state import ServiceState
from .estimates import LearnedEstimates


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    estimates = settings.estimates
    learns = estimates.group_failures or estimates.hopeless_steps
    return Policies(
        estimates=LearnedEstimates(estimates, state) if learns else EstimatePolicy(),
    )
