"""Follows the operator's keys: the configuration, waves of upkeep and evacuations."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._errors import SettingsError
from ..._ids import FailureDomainName, NodeName
from ...adapters import (
    CoordinationStore,
    ReplicaPeers,
    ReplicaSource,
    StoreChange,
    StoredItem,
)
from ...decisions.jobs import QueueTable, UpkeepWave
from ...platform import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    decode_configuration,
    decode_wave,
    evacuated_domain,
    is_wave,
)
from ._key_replica import KeyReplica, KeyReplicaSource
from ._replica_follower import NoUpstreams, ReplicaFollower, Upstreams

CURRENT_SHARE = 0.8
"""Share of the time limit for changes after which this instance's knowledge counts as outdated.

Within this limit, a change has to be in force. Answers arrive well within this share of it unless
they are large, the link is full, or the store doesn't answer."""

STALE_SHARE = 0.7
"""Share of the same limit after which an upstream with outdated knowledge is no longer followed."""


class QueueKeeper:
    """Reads the operator's keys once and then follows their changes."""

    def __init__(
        self,
        node: NodeName,
        store: CoordinationStore,
        changed: Callable[[QueueTable], None],
        bound_seconds: float,
        now: Callable[[], float],
        upstreams: Upstreams | None = None,
        peers: ReplicaPeers | None = None,
    ) -> None:
        """Set up the keeper of the instance ``node``; ``run`` starts it.

        ``changed`` is called with each newer version of the configuration, which has to be in force
        within ``bound_seconds``. The clock ``now`` must also advance while the instance is
        suspended. If ``upstreams`` and ``peers`` are both given, the upstreams are followed,
        otherwise the store.
        """
        self._changed = changed
        self._bound_seconds = bound_seconds
        self._now = now
        self._replica = KeyReplica(self._apply_change)
        self._follower = ReplicaFollower(
            node,
            self._replica,
            store,
            OPERATOR_PREFIX,
            upstreams or NoUpstreams(),
            peers,
            now,
            STALE_SHARE * bound_seconds,
        )
        self._table: QueueTable | None = None
        self._waves: dict[str, UpkeepWave] = {}
        self._evacuated_domains: frozenset[FailureDomainName] = frozenset()
        self.configured = trio.Event()

    @property
    def replica_source(self) -> ReplicaSource:
        """Source from which other instances read this instance's replica of the operator's keys."""
        return KeyReplicaSource(self._replica, self._now, STALE_SHARE * self._bound_seconds)

    @property
    def upstream(self) -> NodeName | None:
        """The instance that is followed now; None if the store is followed."""
        return self._follower.upstream

    @property
    def table(self) -> QueueTable | None:
        """The queues in force; None before the first configuration."""
        return self._table

    @property
    def is_current(self) -> bool:
        """Whether this instance has every version that must be in force by now.

        A large version takes time over a full link, and an instance that gets no answer from the
        store receives none. Such an instance can't determine that a queue doesn't exist.
        """
        outdated_seconds = self._now() - self._replica.known_at
        return outdated_seconds <= CURRENT_SHARE * self._bound_seconds

    @property
    def waves(self) -> tuple[UpkeepWave, ...]:
        """The waves of upkeep that the operator requested."""
        return tuple(self._waves.values())

    @property
    def evacuated_domains(self) -> frozenset[FailureDomainName]:
        """The failure domains whose executors get no new runs at the operator's request."""
        return self._evacuated_domains

    async def run(self) -> None:
        """Follow the operator's keys until cancelled."""
        await self._follower.run()

    def _apply_change(self, change: StoreChange) -> None:
        domain = evacuated_domain(change.key)
        if domain is not None:
            self._apply_evacuation(domain, requested=change.item is not None)
        elif change.item is not None:
            self._apply_item(change.item)
        else:
            self._waves.pop(change.key, None)

    def _apply_item(self, item: StoredItem) -> None:
        if is_wave(item.key):
            self._apply_wave(item)
        if item.key != CONFIGURATION_KEY:
            return
        try:
            table = decode_configuration(item.value)
        except SettingsError as error:
            logger.error("configuration not usable", error=str(error))
            return
        # Pages of a listing and changes may contain an older version after a newer one.
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        logger.info(
            "configuration in force",
            version=table.version,
            queues=len(table.queues),
            bytes=len(item.value),
            told_by=self._follower.upstream or "store",
            seconds=round(self._now() - self._follower.asked_at, 3),
        )
        self._changed(table)
        self.configured.set()

    def _apply_evacuation(self, domain: FailureDomainName, requested: bool) -> None:
        if requested:
            self._evacuated_domains |= {domain}
        else:
            self._evacuated_domains -= {domain}
        logger.info(
            "evacuation in force" if requested else "evacuation withdrawn",
            failure_domain=domain,
            told_by=self._follower.upstream or "store",
            seconds=round(self._now() - self._follower.asked_at, 3),
        )

    def _apply_wave(self, item: StoredItem) -> None:
        wave = decode_wave(item)
        if wave is not None:
            self._waves[item.key] = wave
