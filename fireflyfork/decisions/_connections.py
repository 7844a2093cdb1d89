"""Connection pooling for paths on which open connections can silently stop working.

A middlebox between the two ends may drop the state of an open connection: data sent on it is lost
without an error, while new connections work. A request that must run at most once can't be resent
after it was sent on such a connection. It therefore uses only a connection that was verified
recently, or a new one, which is verified by its handshake. When one connection goes silent, all
connections of the same path are suspected, since the cause probably affects all of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NewType

ConnectionId = NewType("ConnectionId", int)
"""Number of a connection within a process, counted from 1 in the order of opening."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on idle connections and quarantines. All times are in seconds."""

    trusted_seconds: float = 2.0
    """Maximum time since the verification of a connection that carries a non-idempotent request."""
    max_idle_seconds: float = 20.0
    """Time since the verification of an idle connection after which it is closed."""
    silence_seconds: float = 5.0
    """Time without progress of a request after which the connection counts as silent."""
    min_quarantine_seconds: float = 0.25
    """First quarantine of a path whose new connections fail too; doubled with each failure."""
    max_quarantine_seconds: float = 8.0
    max_idle_connections: int = 8
    """Maximum number of idle connections; the least recently verified are closed first."""


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection in the pool that no request uses."""

    connection_id: ConnectionId
    verified_at: float
    """Time of the latest received data: an answer, the answer to a probe, or the handshake."""


class PathState(Enum):
    """Health of the path to a target or peer."""

    WORKING = "working"
    RENEWING = "renewing"
    """An open connection went silent, and no newer connection has answered yet."""
    UNREACHABLE = "unreachable"
    """A new connection could not be set up."""
    SILENT = "silent"
    """A new connection was set up and went silent too."""


class ConnectionChoice(Enum):
    """Whether a request reuses an idle connection, opens a new one or is refused."""

    REUSE = "reuse"
    OPEN = "open"
    QUARANTINED = "quarantined"
    """No connection: the request is not sent on this path and has not run."""


@dataclass(frozen=True, slots=True)
class ConnectionDecision:
    """How a request obtains a connection, and the idle connections to close."""

    choice: ConnectionChoice
    connection_id: ConnectionId | None = None
    """The connection to reuse."""
    close: tuple[ConnectionId, ...] = ()
    retry_after: float = 0.0
    """Seconds until the path may be tried again, if quarantined."""


@dataclass(frozen=True, slots=True)
class ConnectionPool:
    """The idle connections of one path and the health of the path."""

    limits: ConnectionLimits
    idle: tuple[IdleConnection, ...] = ()
    """Idle connections in order of verification, with the most recently verified last."""
    state: PathState = PathState.WORKING
    suspected_up_to: ConnectionId = ConnectionId(0)
    """Highest id of the connections that were open when a connection of the path went silent."""
    quarantined_until: float = 0.0
    failures: int = 0
    """Number of failures of new connections since the path last worked."""

    def choose(self, idempotent: bool, now: float) -> tuple[ConnectionPool, ConnectionDecision]:
        """Choose a connection for one request."""
        expired = tuple(self._unverified_for(self.limits.max_idle_seconds, now))
        kept = self.idle[len(expired) :]
        trusted_for = self.limits.max_idle_seconds if idempotent else self.limits.trusted_seconds
        if kept and now - kept[-1].verified_at <= trusted_for:
            latest = kept[-1].connection_id
            reuse = ConnectionDecision(ConnectionChoice.REUSE, latest, expired)
            return self._with_idle_connections(kept[:-1]), reuse
        if now < self.quarantined_until:
            wait = self.quarantined_until - now
            refused = ConnectionDecision(ConnectionChoice.QUARANTINED, None, expired, wait)
            return self._with_idle_connections(kept), refused
        # A new connection replaces the least recently verified idle connection. Otherwise idle
        # connections that are no longer trusted could exhaust the contract's connection limit, and
        # requests would be refused for lack of a connection while slots are free.
        replaced = tuple(connection.connection_id for connection in kept[:1])
        opened = ConnectionDecision(ConnectionChoice.OPEN, None, expired + replaced)
        return self._with_probe_started(now)._with_idle_connections(kept[1:]), opened

    def opened(self) -> ConnectionPool:
        """Record that a new connection was set up.

        This doesn't clear a silent path: the cause of the silence may let handshakes through.
        """
        if self.state is not PathState.UNREACHABLE:
            return self
        return self._working()

    def open_failed(self, now: float) -> ConnectionPool:
        """Record that a connection could not be set up, so that no part of the request was sent."""
        silent = self.state is PathState.SILENT
        return self._quarantined(PathState.SILENT if silent else PathState.UNREACHABLE, now)

    def answered(
        self, connection_id: ConnectionId, now: float
    ) -> tuple[ConnectionPool, tuple[ConnectionId, ...]]:
        """Return a connection to the pool after a complete answer, which verifies it.

        Returns the pool and the ids of the connections to close.
        """
        if connection_id <= self.suspected_up_to:
            return self, (connection_id,)
        remaining = (c for c in self.idle if c.connection_id != connection_id)
        idle = (*remaining, IdleConnection(connection_id, now))
        surplus = max(0, len(idle) - self.limits.max_idle_connections)
        close = tuple(c.connection_id for c in idle[:surplus])
        return self._working()._with_idle_connections(idle[surplus:]), close

    def closed(self, connection_id: ConnectionId) -> ConnectionPool:
        """Remove a connection that was closed."""
        return self._with_idle_connections(
            tuple(c for c in self.idle if c.connection_id != connection_id)
        )

    def silent(
        self, connection_id: ConnectionId, newest: ConnectionId, now: float
    ) -> tuple[ConnectionPool, tuple[ConnectionId, ...]]:
        """Record that a request timed out without progress on this connection.

        Returns the pool and the ids of the connections to close. ``newest`` is the latest
        connection opened on the path. All idle connections are closed: if a fault has silenced all
        of them, each would cost one more request, whose caller would wait until the timeout only to
        learn that the request may have run.
        """
        if connection_id <= self.suspected_up_to:
            return self, ()
        close = tuple(c.connection_id for c in self.idle)
        pool = replace(self, idle=(), suspected_up_to=newest)
        if self.state in (PathState.RENEWING, PathState.SILENT):
            return pool._quarantined(PathState.SILENT, now), close
        return replace(pool, state=PathState.RENEWING), close

    def _unverified_for(self, seconds: float, now: float) -> Iterator[ConnectionId]:
        return (c.connection_id for c in self.idle if now - c.verified_at > seconds)

    def _with_probe_started(self, now: float) -> ConnectionPool:
        """Extend the quarantine while one request probes a path whose new connections failed.

        The quarantine is extended before the outcome is known. Otherwise all requests that arrive
        until the timeout would be sent on the same dead path.
        """
        if self.failures == 0:
            return self
        until = now + max(self._quarantine_seconds(), self.limits.silence_seconds)
        return replace(self, quarantined_until=until)

    def _quarantined(self, state: PathState, now: float) -> ConnectionPool:
        failed = replace(self, state=state, failures=self.failures + 1)
        return replace(failed, quarantined_until=now + failed._quarantine_seconds())

    def _quarantine_seconds(self) -> float:
        doubled = self.limits.min_quarantine_seconds * 2.0 ** min(self.failures - 1, 16)
        return min(doubled, self.limits.max_quarantine_seconds)

    def _working(self) -> ConnectionPool:
        if self.state is PathState.WORKING:
            return self
        return replace(self, state=PathState.WORKING, quarantined_until=0.0, failures=0)

    def _with_idle_connections(self, idle: tuple[IdleConnection, ...]) -> ConnectionPool:
        if idle is self.idle:
            return self
        return ConnectionPool(
            self.limits,
            idle,
            self.state,
            self.suspected_up_to,
            self.quarantined_until,
            self.failures,
        )
