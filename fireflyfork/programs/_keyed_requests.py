"""Routes requests that must run at most once through the homes of their idempotency keys.

The home of a key is the member that owns the partition that the key hashes into. All repeats of a
key are sent to the home, whichever entry receives them, so that one process can tell a repeat from
a new request.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import replace

from .._contracts import Configuration
from .._errors import RequestError
from .._ids import IdempotencyKey, PartitionId, RegionName
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import Role
from ..decisions import partition_of
from ._bodies import RequestBody
from ._forwarding import Forwarder
from ._key_home import KeyHome
from ._ownership import OwnershipView
from ._redirects import Redirects
from ._sinks import AnswerSink

_MAX_KEY_DRAWS = 32
"""At most this many keys are generated to find a key whose home is this entry.

An entry that owns a tenth of its region's partitions finds none for one request in thirty.
"""

_SEPARATOR = "."

CurrentConfiguration = Callable[[], Configuration | None]


class KeyedRequests:
    """Runs each keyed request at the home of its key."""

    def __init__(
        self,
        ownership: OwnershipView,
        home: KeyHome,
        forwarder: Forwarder,
        configuration: CurrentConfiguration,
    ) -> None:
        """``configuration`` returns the configuration in force, or None before the first."""
        self._ownership = ownership
        self._home = home
        self._forwarder = forwarder
        self._configuration = configuration

    async def run(self, request: ServiceRequest, body: RequestBody, sink: AnswerSink) -> None:
        """Run a caller's request at its key's home. Raises RequestError, HttpError.

        The request must have a key; see ``with_key``.
        """
        redirects = Redirects(request.deadline)
        while True:
            try:
                await self._run_once(request, body, sink)
                return
            except RequestError as error:
                if not body.replayable or not await redirects.follow(error):
                    raise redirects.final_error(error) from error

    async def run_as_home(
        self, request: ServiceRequest, body: RequestBody, sink: AnswerSink
    ) -> None:
        """Run a request that a peer forwarded to this entry as the home of its key.

        Raises RequestError, HttpError.
        """
        assert request.key
        await self._home.run(self.partition(request.key), request, body, sink)

    def with_key(self, request: ServiceRequest) -> ServiceRequest:
        """Return the request with a generated key, or unchanged if it has a key.

        A key whose home is this entry is preferred, since it saves the hop to another entry. The
        key contains the region, so that a repeat is sent to the same home from any region.
        """
        if request.key:
            return request
        region = self._ownership.region_of(self._ownership.member_id) or RegionName("")
        draws = (_new_key(region) for _ in range(_MAX_KEY_DRAWS))
        key = next(draws)
        for drawn in draws:
            if self._ownership.owner_of(self.partition(key)) == self._ownership.member_id:
                break
            key = drawn
        return replace(request, key=key, key_is_new=True)

    def partition(self, key: IdempotencyKey) -> PartitionId:
        """Return the partition whose owner is the key's home."""
        count = self._ownership.partitions_per_region
        return partition_of(self._home_region(key), key, count)

    async def _run_once(self, request: ServiceRequest, body: RequestBody, sink: AnswerSink) -> None:
        assert request.key
        partition = self.partition(request.key)
        home = self._ownership.owner_of(partition)
        if home is None:
            raise RequestError(503, "the key has no home now", Verdict.NOT_RUN, retry_after=1.0)
        if home == self._ownership.member_id:
            await self._home.run(partition, request, body, sink)
        else:
            await self._forwarder.forward(home, Role.HOME, request, body, sink)

    def _home_region(self, key: IdempotencyKey) -> RegionName:
        configuration = self._configuration()
        regions = [region.name for region in configuration.regions] if configuration else []
        key_region = RegionName(key.partition(_SEPARATOR)[0])
        if key_region in regions:
            return key_region
        return regions[0] if regions else key_region


def _new_key(region: RegionName) -> IdempotencyKey:
    """Return a new key of the region and a UUIDv7, whose first 48 bits are the Unix time in ms."""
    milliseconds = time.time_ns() // 1_000_000
    random = secrets.randbits(74)
    value = milliseconds << 80 | 0x7 << 76 | (random >> 62) << 64 | 0b10 << 62 | random % (1 << 62)
    digits = f"{value:032x}"
    groups = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return IdempotencyKey(f"{region}{_SEPARATOR}{'-'.join(groups)}")
