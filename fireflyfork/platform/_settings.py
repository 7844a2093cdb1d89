"""The settings file that the platform lays for each process: lines of ``a.b=value``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from .._errors import SettingsError
from .._ids import FailureDomainName, NodeName, RegionName
from .._links import Address
from ._names import SETTINGS_VARIABLE


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Figures that the platform promises or demands, in seconds."""

    longest_lease: float
    """An executor shortens a longer lease to this."""
    stop_timeout: float
    """A stopped run has ended after this."""
    termination_grace: float
    """From the signal to stop until the process is killed."""
    status_retention: float
    """A job's state must stay readable for so long after its end."""
    configuration: float
    """A change of the configuration has to be in force so long after it was acknowledged."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process learns about itself and the platform."""

    node: NodeName
    region: RegionName
    failure_domain: FailureDomainName
    regions: dict[FailureDomainName, RegionName]
    """The region of each failure domain."""
    caller_address: Address
    """Where callers' requests arrive."""
    readiness_address: Address
    """Where the load balancer asks whether to send new connections."""
    metrics_address: Address
    """Where metrics are served: the first port that is free for the system's own use."""
    relay_address: Address | None
    """Where calls to executors are made for other instances: the port after it, if that is free too."""
    replica_address: Address | None
    """Where other instances hear what the operator has written: the one after that."""
    store_address: Address
    """The platform's store."""
    advisor_address: Address | None
    """The service that tells which executors may run a step, where there is one."""
    machines_address: Address | None
    """The service that lists machines and takes them down for upkeep, where there is one."""
    processors: float
    """What the platform grants of processor time, in processors of usual speed."""
    link_mbps: float
    """What it grants of network bandwidth."""
    bounds: PlatformBounds


def settings_path() -> Path:
    """Where the settings file lies. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set: it holds the path of the settings")
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read the settings. Raises SettingsError, which names the field."""
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_node_settings(text)


def parse_node_settings(text: str) -> NodeSettings:
    """Read the settings from their text; fields that aren't known are ignored."""
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
            longest_lease=_number(fields, "bounds.max_hold_ms") / 1000,
            stop_timeout=_number(fields, "bounds.stop_timeout_ms") / 1000,
            termination_grace=_number(fields, "bounds.grace_s"),
            status_retention=_number(fields, "bounds.status_s"),
            configuration=_number(fields, "bounds.config_apply_ms") / 1000,
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


def _number(fields: dict[str, str], name: str) -> float:
    value = _text(fields, name)
    try:
        return float(value)
    except ValueError as error:
        raise SettingsError(f"settings: {name}={value!r} is not a number") from error


def _ports(fields: dict[str, str]) -> tuple[int, int]:
    """The first and the last port that are free for the system's own use."""
    value = _text(fields, "port_range")
    first, _, last = value.partition(",")
    try:
        return int(first), int(last or first)
    except ValueError as error:
        raise SettingsError(f"settings: port_range={value!r} is not FIRST,LAST") from error
