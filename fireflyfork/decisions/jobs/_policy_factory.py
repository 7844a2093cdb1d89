"""Creates the policies that the settings enable."""

from __future__ import annotations

from ._policies import Policies
from ._policy_settings import PolicySettings
from ._service_state import ServiceState


def create_policies(settings: PolicySettings, state: ServiceState) -> Policies:
    """Return the policies of a scheduler with this state; those that are off are the defaults."""
    return Policies()
