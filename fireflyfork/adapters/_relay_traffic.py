"""How many bytes the streams between owners and relays carry."""

from __future__ import annotations

from collections.abc import Mapping

from .._ids import FailureDomainName
from ._message_stream import StreamTraffic


class RelayTraffic:
    """What the owners on this instance exchange with relays, by the relays' failure domain."""

    def __init__(self) -> None:
        """Nothing exchanged."""
        self._domains: dict[FailureDomainName, StreamTraffic] = {}

    @property
    def received(self) -> Mapping[str, int]:
        """Bytes that came from relays there."""
        return {domain: traffic.received for domain, traffic in self._domains.items()}

    @property
    def sent(self) -> Mapping[str, int]:
        """Bytes that went to relays there."""
        return {domain: traffic.sent for domain, traffic in self._domains.items()}

    def of(self, domain: FailureDomainName) -> StreamTraffic:
        """Where streams to a failure domain are counted."""
        return self._domains.setdefault(domain, StreamTraffic())
