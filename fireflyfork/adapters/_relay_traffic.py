"""Counts the bytes on the streams between owners and relays."""

from __future__ import annotations

from collections.abc import Mapping

from .._ids import FailureDomainName
from ._message_stream import StreamTraffic


class RelayTraffic:
    """The bytes that owners on this instance exchange with relays, by the failure domain of the relay."""

    def __init__(self) -> None:
        """Start without counters; ``of`` creates the counter of a failure domain."""
        self._domains: dict[FailureDomainName, StreamTraffic] = {}

    @property
    def received(self) -> Mapping[str, int]:
        """The bytes received from relays, by failure domain."""
        return {domain: traffic.received for domain, traffic in self._domains.items()}

    @property
    def sent(self) -> Mapping[str, int]:
        """The bytes sent to relays, by failure domain."""
        return {domain: traffic.sent for domain, traffic in self._domains.items()}

    def of(self, domain: FailureDomainName) -> StreamTraffic:
        """Return the counter for streams to relays in a failure domain."""
        return self._domains.setdefault(domain, StreamTraffic())
