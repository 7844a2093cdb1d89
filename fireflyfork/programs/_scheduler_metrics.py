"""Names of metrics of the scheduler that ``fireflyfork-ctl status`` reads."""

from __future__ import annotations

EXECUTORS_WITHOUT_REGISTRATION = "fireflyfork_executors_without_registration"
"""The number of executors of the services owned here that answer but get no runs, because the store
has had no usable registration of their present incarnation for several seconds."""
