"""Network addresses, and links between regions."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from functools import lru_cache

from ._errors import SettingsError
from ._ids import RegionName

_IP_AND_PORT = re.compile(
    r"(?:(?P<v4>[0-9.]+)|\[(?P<v6>[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*)\]):(?P<port>[1-9][0-9]{0,4})"
)


@lru_cache(maxsize=8_192)
def _is_ip_address(host: str) -> bool:
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return False
    # The zone of an IPv6 address names a network interface of one host, so it means nothing to
    # another one. It is free text, which a resolver may refuse.
    return isinstance(number, ipaddress.IPv4Address) or number.scope_id is None


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address without a zone, and a port. Raises SettingsError for other values."""

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
        """Parse ``host:port``, with IPv6 hosts in brackets and the port in plain decimal digits.

        Raises SettingsError if the host is not an IP address, since names are never resolved, or if
        the port is invalid.
        """
        match = _IP_AND_PORT.fullmatch(text)
        host = (match["v4"] or match["v6"]) if match is not None else ""
        if match is None or not _is_ip_address(host):
            raise SettingsError(f"{text!r:.80} is not IP-number:port")
        number = int(match["port"])
        if number >= 65536:
            raise SettingsError(f"{text!r:.80}: the port must be between 1 and 65535")
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
