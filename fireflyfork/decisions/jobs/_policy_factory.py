"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import EstimatePolicy, LoadPolicy, OrderPolicy, Policies, RoomPolicy
from ._policy_settings import EstimateSettings, PolicySettings
from ._service_state import ServiceState
from .admission import WorkAhead
from .estimates import LearnedEstimates
from .fairness import FairnessPolicy
from .preemption import Preemption


def create_policies(settings: PolicySettings, state: ServiceState, far_factor: float) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults.

    ``far_factor`` is how many times as long tasks take far from their data.
    """
    preemption, fairness, estimates = settings.preemption, settings.fairness, settings.estimates
    makes_room = preemption.enabled or preemption.adaptive_reserve
    learns = estimates != EstimateSettings()
    return Policies(
        room=Preemption(preemption, state) if makes_room else RoomPolicy(),
        order=FairnessPolicy(fairness, state) if fairness.enabled else OrderPolicy(),
        estimates=LearnedEstimates(estimates, state, far_factor) if learns else EstimatePolicy(),
        load=WorkAhead(state) if settings.admission.enabled else LoadPolicy(),
    )
