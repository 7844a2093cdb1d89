"""Network addresses, and links between regions."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from functools import lru_cache

from ._errors import SettingsError
from ._ids import RegionName


@lru_cache(maxsize=8_192)
def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port. Raises SettingsError for other values."""

    host: str
    port: int

    def __post_init__(self) -> None:
        """Check the values, which may come from another process."""
        if not _is_ip_address(self.host):
            raise SettingsError(f"{self.host!r} is not an IP address")
        if not 0 <= self.port < 65536:
            raise SettingsError(f"port {self.port} is not between 0 and 65535")

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``, with IPv6 hosts in brackets.

        Raises SettingsError if the host is not an IP address, since names are never resolved, or if
        the port is invalid.
        """
        host, _, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        try:
            number = int(port)
        except ValueError as error:
            raise SettingsError(f"{text!r} is not IP-number:port") from error
        if not _is_ip_address(host):
            raise SettingsError(f"{text!r} is not IP-number:port")
        if not 0 < number < 65536:
            raise SettingsError(f"{text!r}: the port must be between 1 and 65535")
        return cls(host, number)

    def __str__(self) -> str:
        """Return the address in the form that ``parse`` accepts."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class RegionLink:
    """The metered link between two regions."""

    regions: tuple[RegionName, RegionName]
    one_way_milliseconds: float
    """One-way latency."""
    bytes_per_second: int
    """The capacity in each direction, shared by all traffic."""
    spill_share: float = 0.2
    """The share of the capacity that requests may use when their own region has no free slots."""
