"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import LoadPolicy, Policies
from ._policy_settings import PolicySettings
from ._service_state import ServiceState
from .admission import WorkAhead


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    load = WorkAhead(state) if settings.admission.enabled else LoadPolicy()
    return Policies(load=load)
