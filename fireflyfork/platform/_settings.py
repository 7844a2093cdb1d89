"""Reads the settings file that the platform provides for each process, with lines of ``a.b=value``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from math import inf
from pathlib import Path

from .._errors import SettingsError
from .._ids import FailureDomainName, NodeName, RegionName
from .._links import Address
from ..decisions.jobs import NO_POLICIES, PolicySettings
from ._names import SETTINGS_VARIABLE


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Time limits that the platform guarantees or requires, in seconds."""

    max_lease: float
    """The maximum duration of a lease; an executor shortens a longer one to this."""
    stop_timeout: float
    """The time within which a run ends after it was told to stop."""
    termination_grace: float
    """The time between the stop signal and the kill of the process."""
    status_retention: float
    """The time for which a job's state must remain readable after its end."""
    configuration_delay: float
    """The time within which a configuration change must be in force after it was acknowledged."""
    far_factor: float = 2.0
    """How many times as long a task takes on another rack than that of its data."""
    drain_notice: float = inf
    """The time for which an executor that announces its shutdown still takes starts."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a process, about itself and the platform."""

    node: NodeName
    region: RegionName
    failure_domain: FailureDomainName
    regions: dict[FailureDomainName, RegionName]
    """The region of each failure domain."""
    caller_address: Address
    """The address at which requests of callers are served."""
    readiness_address: Address
    """The address at which the load balancer checks whether it may send new connections."""
    metrics_address: Address
    """The address at which metrics are served: the first port of the range for internal use."""
    relay_address: Address | None
    """The address of the relay, which calls executors for other instances: the second port of the range, if any."""
    replica_address: Address | None
    """The address at which other instances follow the replica of the operator's keys: the third port, if any."""
    store_address: Address
    """The address of the platform's store."""
    advisor_address: Address | None
    """The address of the advisor, which decides which executors may run a step, or None if there is none."""
    machines_address: Address | None
    """The address of the machine service, which takes machines down for upkeep, or None if there is none."""
    processors: float
    """The processor time that the platform grants, in processors of standard speed."""
    link_mbps: float
    """The network bandwidth that the platform grants, in Mbit/s."""
    bounds: PlatformBounds
    policies: PolicySettings = NO_POLICIES
    """The product's own settings, which the platform doesn't provide."""


def settings_path() -> Path:
    """Return the path of the settings file. Raises SettingsError if it isn't set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set; it must be the path of the settings file"
        )
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read the settings file. Raises SettingsError, which names the invalid field."""
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_node_settings(text)


def parse_node_settings(text: str) -> NodeSettings:
    """Parse the text of a settings file; unknown fields are ignored. Raises SettingsError."""
    fields = dict(_fields(text))
    regions = {
        FailureDomainName(name.removeprefix("zones.")): RegionName(value)
        for name, value in fields.items()
        if name.startswith("zones.")
    }
    caller = Address.parse(_text(fields, "listen.front"))
    first, last = _ports(fields)
    return NodeSettings(
        node=NodeName(_text(fields, "node_name")),
        region=RegionName(_text(fields, "region")),
        failure_domain=FailureDomainName(_text(fields, "zone")),
        regions=regions,
        caller_address=caller,
        readiness_address=Address.parse(_text(fields, "listen.readiness")),
        metrics_address=Address(caller.host, first),
        relay_address=Address(caller.host, first + 1) if first + 1 <= last else None,
        replica_address=Address(caller.host, first + 2) if first + 2 <= last else None,
        store_address=Address.parse(_text(fields, "platform.address")),
        advisor_address=_optional_address(fields, "advice"),
        machines_address=_optional_address(fields, "cloud.address"),
        processors=_number(fields, "limits.cpu_share") * _number(fields, "limits.cores"),
        link_mbps=_number(fields, "limits.link_mbps"),
        bounds=PlatformBounds(
            max_lease=_number(fields, "bounds.max_hold_ms") / 1000,
            stop_timeout=_number(fields, "bounds.stop_timeout_ms") / 1000,
            termination_grace=_number(fields, "bounds.grace_s"),
            status_retention=_number(fields, "bounds.status_s"),
            configuration_delay=_number(fields, "bounds.config_apply_ms") / 1000,
            far_factor=_optional_number(fields, "bounds.far_x", 2.0),
            drain_notice=_number(fields, "bounds.drain_ms") / 1000,
        ),
    )


def _fields(text: str) -> list[tuple[str, str]]:
    lines = (line.strip() for line in text.splitlines())
    pairs = (line.partition("=") for line in lines if line and not line.startswith("#"))
    return [(name.strip(), value.strip()) for name, _, value in pairs]


def _text(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise SettingsError(f"settings: {name} is missing")
    return value


def _optional_address(fields: dict[str, str], name: str) -> Address | None:
    value = fields.get(name, "")
    return Address.parse(value) if value else None


def _optional_number(fields: dict[str, str], name: str, default: float) -> float:
    return _number(fields, name) if fields.get(name) else default


def _number(fields: dict[str, str], name: str) -> float:
    value = _text(fields, name)
    try:
        return float(value)
    except ValueError as error:
        raise SettingsError(f"settings: {name}={value!r} is not a number") from error


def _ports(fields: dict[str, str]) -> tuple[int, int]:
    """Return the first and the last port of the range for internal use."""
    value = _text(fields, "port_range")
    first, _, last = value.partition(",")
    try:
        return int(first), int(last or first)
    except ValueError as error:
        raise SettingsError(f"settings: port_range={value!r} is not FIRST,LAST") from error
