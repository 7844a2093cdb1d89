"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import LoadPolicy, OrderPolicy, Policies, RoomPolicy
from ._policy_settings import PolicySettings
from ._service_state import ServiceState
from .admission import WorkAhead
from .fairness import FairnessPolicy
from .preemption import Preemption


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    preemption, fairness = settings.preemption, settings.fairness
    makes_room = preemption.enabled or preemption.adaptive_reserve
    return Policies(
        room=Preemption(preemption, state) if makes_room else RoomPolicy(),
        order=FairnessPolicy(fairness, state) if fairness.enabled else OrderPolicy(),
        load=WorkAhead(state) if settings.admission.enabled else LoadPolicy(),
    )
