"""The command-line programs: settings, wiring and signals."""

from ._logs import configure_logs
from ._settings import decode_settings, load_settings, load_settings_or_exit

__all__ = ["configure_logs", "decode_settings", "load_settings", "load_settings_or_exit"]
