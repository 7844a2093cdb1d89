"""The platform's names of paths, headers, keys and environment variables."""

CALLER_DEADLINE_HEADER = b"x-fireflyfork-deadline-ms"
EXPECTED_INCARNATION_HEADER = b"x-fireflyfork-expected-instance"

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WAVE_PREFIX = "op/wave/"
EVACUATION_PREFIX = "op/evacuate/"
WAVE_STATUS_PREFIX = "status/wave/"
REGISTRATION_PREFIX = "servers/"

START_PATH = "/run-start"
STOP_PATH = "/run-stop"
PACE_PATH = "/pace"
POLL_PATH = "/hold"

ADVICE_PATH = "/advise"

MACHINES_PATH = "/machines"
UPKEEP_PATH = "/machine-upkeep"
DUTY_HOLDER_HEADER = b"x-fireflyfork-duty-holder"
FENCING_TOKEN_HEADER = b"x-fireflyfork-fencing-token"

KEY_PATH = "/kv-key"
RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
TRANSACTION_PATH = "/kv-txn"
LEASE_PATH = "/kv-lease"
LEASE_KEEP_PATH = "/kv-keep/"
LEASE_END_PATH = "/kv-lease-end/"

READINESS_PATH = "/readyz"
SETTINGS_VARIABLE = "FIREFLYFORK_SETTINGS"
