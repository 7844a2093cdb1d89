"""The users' platform: its names, formats and calls, translated to and from the product's types.

This package contains no decision logic, and no other package uses the platform's names.
"""

from ._advisor_client import PlatformAdvisor
from ._configuration import decode_configuration
from ._evacuations import evacuated_domain
from ._executor_client import PlatformExecutors
from ._jobs import caller_timeout, decode_job, encode_pending, encode_state, parse_job_id
from ._machines_client import PlatformMachines
from ._names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    READINESS_PATH,
    REGISTRATION_PREFIX,
)
from ._registrations import decode_registration, registered_executor
from ._settings import (
    NodeSettings,
    PlatformBounds,
    load_node_settings,
    parse_node_settings,
    settings_path,
)
from ._store_client import PlatformStore
from ._waves import decode_wave, encode_wave_status, is_completed_status, is_wave, wave_status_key

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "READINESS_PATH",
    "REGISTRATION_PREFIX",
    "NodeSettings",
    "PlatformAdvisor",
    "PlatformBounds",
    "PlatformExecutors",
    "PlatformMachines",
    "PlatformStore",
    "caller_timeout",
    "decode_configuration",
    "decode_job",
    "decode_registration",
    "decode_wave",
    "encode_pending",
    "encode_state",
    "encode_wave_status",
    "evacuated_domain",
    "is_completed_status",
    "is_wave",
    "load_node_settings",
    "parse_job_id",
    "parse_node_settings",
    "registered_executor",
    "settings_path",
    "wave_status_key",
]
