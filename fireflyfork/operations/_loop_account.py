"""What the instances' processor time, calls to the store and bytes went to, from their log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from ._log_lines import decoded_lines


@dataclass(slots=True)
class LoopAccount:
    """What one instance did, over all of its lines."""

    spent_ms: Counter[str] = field(default_factory=Counter)
    """Processor time by activity."""
    looked_ms: int = 0
    """In which it was spent."""
    store_calls: Counter[str] = field(default_factory=Counter)
    """By purpose."""
    store_received: Counter[str] = field(default_factory=Counter)
    """Bytes of the store's answers, by purpose."""
    store_sent: Counter[str] = field(default_factory=Counter)
    """Bytes of calls to the store, by purpose."""
    relay_received: Counter[str] = field(default_factory=Counter)
    """Bytes that its owners got from relays, by failure domain."""
    relay_sent: Counter[str] = field(default_factory=Counter)
    """Bytes that its owners sent to relays, by failure domain."""
    worst_lag_ms: int = 0
    """How late its loop was at most."""

    @property
    def shares(self) -> dict[str, float]:
        """By activity, the share of one processor that it took."""
        return {name: spent / max(1, self.looked_ms) for name, spent in self.spent_ms.items()}

    @property
    def share(self) -> float:
        """Of one processor, for all activities."""
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
    """By instance, the busiest first; lines that tell nothing of this are passed over."""
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
    return (line for line in decoded_lines(likely, _Line) if line.message == _MESSAGE)
