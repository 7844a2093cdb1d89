"""Which connection to a target or peer a request may use, when connections can go silent for good.

Something between the two ends may lose track of an open connection: nothing sent on it arrives
and nothing says so, while new connections work. A request that must run at most once can't be sent
again after it met such a connection, so it uses only one that has lately been proved, or a fresh
one, whose handshake is a proof. A silence accuses all connections of the same path, since what
lost track of one has probably lost track of the others.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NewType

ConnectionId = NewType("ConnectionId", int)
"""Numbers the connections of one process in the order in which they were opened, from 1."""


@dataclass(frozen=True, slots=True)
class ConnectionTerms:
    """How far an idle connection is trusted. All times are in seconds."""

    proof_lasts: float = 2.0
    """An idle connection proved longer ago is not trusted with a non-idempotent request."""
    longest_idle: float = 20.0
    """An idle connection proved longer ago is closed."""
    silence_seconds: float = 5.0
    """A request without any progress for so long has met a silent connection."""
    shortest_quarantine: float = 0.25
    """How long a path is left alone after new connections on it fail too; doubled each time."""
    longest_quarantine: float = 8.0
    most_idle: int = 8
    """Idle connections kept; the longest unproved are closed first."""


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A pooled connection."""

    connection_id: ConnectionId
    proved_at: float
    """When bytes last came back on it: an answer, a probe's answer or the handshake."""


class PathState(Enum):
    """What is known of the way to a target or peer."""

    WORKING = "working"
    RENEWING = "renewing"
    """An open connection went silent, and no newer one has answered yet."""
    UNREACHABLE = "unreachable"
    """A new connection could not be set up."""
    SILENT = "silent"
    """A new connection was set up and went silent too."""


class ConnectionChoice(Enum):
    """What a request does for a connection."""

    REUSE = "reuse"
    OPEN = "open"
    QUARANTINED = "quarantined"
    """The request isn't sent on this path, so it has not run."""


@dataclass(frozen=True, slots=True)
class ConnectionDecision:
    """The choice, and the idle connections that are of no more use."""

    choice: ConnectionChoice
    connection_id: ConnectionId | None = None
    """The connection to reuse."""
    close: tuple[ConnectionId, ...] = ()
    retry_after: float = 0.0
    """Seconds until the path may be tried again."""


@dataclass(frozen=True, slots=True)
class ConnectionPool:
    """The idle connections of one path, and what is known of the path."""

    terms: ConnectionTerms
    idle: tuple[IdleConnection, ...] = ()
    """Ordered by their last proof, the latest last."""
    state: PathState = PathState.WORKING
    suspected_up_to: ConnectionId = ConnectionId(0)
    """Connections with this number or a lower one were open when one of them went silent."""
    quarantined_until: float = 0.0
    failures: int = 0
    """Failures of new connections since the path last worked."""

    def choose(self, idempotent: bool, now: float) -> tuple[ConnectionPool, ConnectionDecision]:
        """Pick a connection for one request."""
        expired = tuple(self._unproved_for(self.terms.longest_idle, now))
        kept = self.idle[len(expired) :]
        trusted_for = self.terms.longest_idle if idempotent else self.terms.proof_lasts
        if kept and now - kept[-1].proved_at <= trusted_for:
            latest = kept[-1].connection_id
            reuse = ConnectionDecision(ConnectionChoice.REUSE, latest, expired)
            return self._with_idle(kept[:-1]), reuse
        if now < self.quarantined_until:
            wait = self.quarantined_until - now
            refused = ConnectionDecision(ConnectionChoice.QUARANTINED, None, expired, wait)
            return self._with_idle(kept), refused
        # A new connection takes the place of the one unproved for the longest. If all were kept,
        # idle ones that nobody trusts could use up what the contract allows, and requests would be
        # refused for want of a connection while slots are free.
        replaced = tuple(connection.connection_id for connection in kept[:1])
        opened = ConnectionDecision(ConnectionChoice.OPEN, None, expired + replaced)
        return self._after_trial(now)._with_idle(kept[1:]), opened

    def opened(self) -> ConnectionPool:
        """A new connection was set up.

        On a silent path that proves little: what swallows the bytes may let handshakes through.
        """
        if self.state is not PathState.UNREACHABLE:
            return self
        return self._working()

    def open_failed(self, now: float) -> ConnectionPool:
        """A new connection could not be set up: nothing of the request left."""
        silent = self.state is PathState.SILENT
        return self._quarantined(PathState.SILENT if silent else PathState.UNREACHABLE, now)

    def answered(
        self, connection_id: ConnectionId, now: float
    ) -> tuple[ConnectionPool, tuple[ConnectionId, ...]]:
        """A whole answer came, so the connection is idle and proved. Returns those to close."""
        if connection_id <= self.suspected_up_to:
            return self, (connection_id,)
        others = (c for c in self.idle if c.connection_id != connection_id)
        idle = (*others, IdleConnection(connection_id, now))
        surplus = max(0, len(idle) - self.terms.most_idle)
        close = tuple(c.connection_id for c in idle[:surplus])
        return self._working()._with_idle(idle[surplus:]), close

    def closed(self, connection_id: ConnectionId) -> ConnectionPool:
        """The connection is gone."""
        return self._with_idle(tuple(c for c in self.idle if c.connection_id != connection_id))

    def silent(
        self, connection_id: ConnectionId, newest: ConnectionId, now: float
    ) -> tuple[ConnectionPool, tuple[ConnectionId, ...]]:
        """A request made no progress in time on this connection. Returns those to close.

        ``newest`` is the latest connection opened on the path. If the idle ones were kept, a fault
        that silences them all would cost one request each, and each of these callers would wait
        until the timeout to hear that the request may have run.
        """
        if connection_id <= self.suspected_up_to:
            return self, ()
        close = tuple(c.connection_id for c in self.idle)
        pool = replace(self, idle=(), suspected_up_to=newest)
        if self.state in (PathState.RENEWING, PathState.SILENT):
            return pool._quarantined(PathState.SILENT, now), close
        return replace(pool, state=PathState.RENEWING), close

    def _unproved_for(self, seconds: float, now: float) -> Iterator[ConnectionId]:
        return (c.connection_id for c in self.idle if now - c.proved_at > seconds)

    def _after_trial(self, now: float) -> ConnectionPool:
        """One request at a time tries a path whose new connections failed.

        The quarantine is renewed before the outcome is known. Otherwise all requests that come in
        until the timeout would meet the same dead path.
        """
        if self.failures == 0:
            return self
        until = now + max(self._quarantine_seconds(), self.terms.silence_seconds)
        return replace(self, quarantined_until=until)

    def _quarantined(self, state: PathState, now: float) -> ConnectionPool:
        failed = replace(self, state=state, failures=self.failures + 1)
        return replace(failed, quarantined_until=now + failed._quarantine_seconds())

    def _quarantine_seconds(self) -> float:
        doubled = self.terms.shortest_quarantine * 2.0 ** min(self.failures - 1, 16)
        return min(doubled, self.terms.longest_quarantine)

    def _working(self) -> ConnectionPool:
        if self.state is PathState.WORKING:
            return self
        return replace(self, state=PathState.WORKING, quarantined_until=0.0, failures=0)

    def _with_idle(self, idle: tuple[IdleConnection, ...]) -> ConnectionPool:
        if idle is self.idle:
            return self
        return ConnectionPool(
            self.terms,
            idle,
            self.state,
            self.suspected_up_to,
            self.quarantined_until,
            self.failures,
        )
