"""Sums of processor time, store calls and transferred bytes by instance, from log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from ._log_lines import decode_log_lines


@dataclass(slots=True)
class LoopAccount:
    """Totals of one instance over all its "loop time" log lines."""

    spent_ms: Counter[str] = field(default_factory=Counter)
    """Processor time by activity, in milliseconds."""
    looked_ms: int = 0
    """Time over which ``spent_ms`` was measured, in milliseconds."""
    store_calls: Counter[str] = field(default_factory=Counter)
    """Number of calls to the store by purpose."""
    store_received: Counter[str] = field(default_factory=Counter)
    """Bytes received from the store by purpose of the call."""
    store_sent: Counter[str] = field(default_factory=Counter)
    """Bytes sent to the store by purpose of the call."""
    relay_received: Counter[str] = field(default_factory=Counter)
    """Bytes that the instance's owners received from relays by failure domain."""
    relay_sent: Counter[str] = field(default_factory=Counter)
    """Bytes that the instance's owners sent to relays by failure domain."""
    worst_lag_ms: int = 0
    """Maximum delay of the event loop, in milliseconds."""

    @property
    def shares(self) -> dict[str, float]:
        """Share of one processor by activity."""
        return {name: spent / max(1, self.looked_ms) for name, spent in self.spent_ms.items()}

    @property
    def share(self) -> float:
        """Share of one processor that all activities took together."""
        return sum(self.shares.values())


_MESSAGE = "loop time"


class _Line(msgspec.Struct):
    message: str
    node: str = ""
    looked_ms: int = 0
    spent_ms: dict[str, int] = {}
    store_calls: dict[str, int] = {}
    store_received: dict[str, int] = {}
    store_sent: dict[str, int] = {}
    relay_received: dict[str, int] = {}
    relay_sent: dict[str, int] = {}
    lag_ms: int = 0


def account_loops(lines: Iterable[str]) -> dict[str, LoopAccount]:
    """Return the accounts by instance, busiest first; lines other than "loop time" are skipped."""
    accounts: dict[str, LoopAccount] = defaultdict(LoopAccount)
    for line in _loop_lines(lines):
        account = accounts[line.node]
        account.spent_ms.update(line.spent_ms)
        account.looked_ms += line.looked_ms
        account.store_calls.update(line.store_calls)
        account.store_received.update(line.store_received)
        account.store_sent.update(line.store_sent)
        account.relay_received.update(line.relay_received)
        account.relay_sent.update(line.relay_sent)
        account.worst_lag_ms = max(account.worst_lag_ms, line.lag_ms)
    return dict(sorted(accounts.items(), key=lambda item: (-item[1].share, item[0])))


def _loop_lines(lines: Iterable[str]) -> Iterator[_Line]:
    likely = (text for text in lines if _MESSAGE in text)
    return (line for line in decode_log_lines(likely, _Line) if line.message == _MESSAGE)
