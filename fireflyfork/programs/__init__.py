"""The command-line programs and their wiring: settings, logging, processes and signals."""

from ._batch_client import BatchClient
from ._batch_messages import JobRequest, JobStatus
from ._logs import configure_logs
from ._settings import decode_settings, load_settings, load_settings_or_exit

__all__ = [
    "BatchClient",
    "JobRequest",
    "JobStatus",
    "configure_logs",
    "decode_settings",
    "load_settings",
    "load_settings_or_exit",
]
