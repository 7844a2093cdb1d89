"""Sums of the calls to the advisor by service, from log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median

import msgspec

from ._log_lines import decode_log_lines

_MESSAGE = "advice call"


@dataclass(slots=True)
class AdviceAccount:
    """Totals of one service over all its "advice call" log lines."""

    outcomes: Counter[str] = field(default_factory=Counter)
    """Number of calls by outcome."""
    seconds: list[float] = field(default_factory=list)
    """How long each call took."""
    cost_seconds: list[float] = field(default_factory=list)
    """How long each call takes by the configuration."""
    most_open_calls: int = 0
    most_waiting_steps: int = 0
    longest_backlog_seconds: float = 0.0
    """The longest time that the advisor takes for all steps that wait at one moment."""

    @property
    def median_seconds(self) -> float:
        """The median duration of a call."""
        return median(self.seconds)

    @property
    def median_cost_seconds(self) -> float:
        """The median duration of a call by the configuration."""
        return median(self.cost_seconds)


class _Line(msgspec.Struct):
    message: str
    service: str = ""
    outcome: str = ""
    seconds: float = 0.0
    cost_seconds: float = 0.0
    open_calls: int = 0
    waiting_steps: int = 0
    backlog_seconds: float = 0.0


def account_advice(lines: Iterable[str]) -> dict[str, AdviceAccount]:
    """Return the accounts by service; lines other than "advice call" are skipped."""
    accounts: dict[str, AdviceAccount] = defaultdict(AdviceAccount)
    for line in _advice_lines(lines):
        account = accounts[line.service]
        account.outcomes[line.outcome] += 1
        account.seconds.append(line.seconds)
        account.cost_seconds.append(line.cost_seconds)
        account.most_open_calls = max(account.most_open_calls, line.open_calls)
        account.most_waiting_steps = max(account.most_waiting_steps, line.waiting_steps)
        account.longest_backlog_seconds = max(account.longest_backlog_seconds, line.backlog_seconds)
    return dict(sorted(accounts.items()))


def _advice_lines(lines: Iterable[str]) -> Iterator[_Line]:
    likely = (text for text in lines if _MESSAGE in text)
    return (line for line in decode_log_lines(likely, _Line) if line.message == _MESSAGE)
