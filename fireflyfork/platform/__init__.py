"""The users' platform: its names, formats and calls, decoded into the product's types.

Nothing here decides anything, and nothing outside knows the platform's names.
"""

from ._advisor_client import PlatformAdvisor
from ._configuration import decode_configuration
from ._executor_client import PlatformExecutors
from ._jobs import decode_job, encode_pending, encode_state, parse_job_id
from ._names import CONFIGURATION_KEY, OPERATOR_PREFIX, READINESS_PATH, REGISTRATION_PREFIX
from ._registrations import decode_registration, registered_executor
from ._settings import (
    NodeSettings,
    PlatformBounds,
    load_node_settings,
    parse_node_settings,
    settings_path,
)
from ._store_client import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "READINESS_PATH",
    "REGISTRATION_PREFIX",
    "NodeSettings",
    "PlatformAdvisor",
    "PlatformBounds",
    "PlatformExecutors",
    "PlatformStore",
    "decode_configuration",
    "decode_job",
    "decode_registration",
    "encode_pending",
    "encode_state",
    "load_node_settings",
    "parse_job_id",
    "parse_node_settings",
    "registered_executor",
    "settings_path",
]
