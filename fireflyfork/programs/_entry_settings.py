"""Settings of an entry process."""

from __future__ import annotations

from dataclasses import dataclass

from .._errors import SettingsError
from .._ids import FailureDomainName, RegionName
from .._links import Address

MIN_PEER_KEY_LENGTH = 16


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of one entry process."""

    name: str
    """The instance's name; a random suffix makes it a member id, unique for each process run."""
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str
    """IP address and port where callers are served."""
    peer_address: str
    """IP address and port where peers reach this entry."""
    operator_address: str
    """IP address and port of health, readiness, status and metrics."""
    store_address: str
    """IP address and port of the platform's store."""
    instance_list_address: str
    """IP address and port of the platform's instance list."""
    peer_key: str
    """The secret that authenticates an entry to its peers; the same for all entries."""
    log_level: str = "INFO"
    trace_share: float = 1.0
    """The share of the requests without a trace context whose spans are written."""
    drain_notice_seconds: float = 2.0
    """After SIGTERM: how long the entry reports not ready before it stops accepting requests."""

    def check(self) -> None:
        """Check the rules that the types don't express. Raises SettingsError."""
        for field in (
            "caller_address",
            "peer_address",
            "operator_address",
            "store_address",
            "instance_list_address",
        ):
            _check_address(field, getattr(self, field))
        if len(self.peer_key) < MIN_PEER_KEY_LENGTH:
            raise SettingsError(f"$.peer_key: expected {MIN_PEER_KEY_LENGTH} characters or more")
        if not 0.0 <= self.trace_share <= 1.0:
            raise SettingsError(f"$.trace_share: value {self.trace_share}: expected 0 to 1")
        if not self.drain_notice_seconds >= 0.0:
            raise SettingsError(
                f"$.drain_notice_seconds: value {self.drain_notice_seconds}: expected 0 or more"
            )


def _check_address(field: str, text: str) -> None:
    try:
        Address.parse(text)
    except SettingsError as error:
        raise SettingsError(f"$.{field}: {error}") from error
