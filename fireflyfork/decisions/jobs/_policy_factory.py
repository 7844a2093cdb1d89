"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import EstimatePolicy, Policies
from ._policy_settings import EstimateSettings, PolicySettings
from ._service_state import ServiceState
from .estimates import LearnedEstimates


def create_policies(settings: PolicySettings, state: ServiceState, far_factor: float) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults.

    ``far_factor`` is how many times as long tasks take far from their data.
    """
    return Policies(estimates=_estimates(settings.estimates, state, far_factor))


def _estimates(
    settings: EstimateSettings, state: ServiceState, far_factor: float
) -> EstimatePolicy:
    is_off = settings == EstimateSettings()
    return EstimatePolicy() if is_off else LearnedEstimates(settings, state, far_factor)
