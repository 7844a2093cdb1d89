"""The logic behind the operators' commands, without terminal or network I/O.

Decodes and checks questionnaire answers and configurations, generates and compares configurations,
and analyses logs, metrics and traces.
"""

from ._answers import (
    Answers,
    ExecutorAnswer,
    JobAnswer,
    LinkAnswer,
    Measure,
    Question,
    RegionAnswer,
    ServiceAnswer,
    TeamAnswer,
    WorkerAnswer,
)
from ._changes import (
    HISTORY_PREFIX,
    RETAINED_VERSIONS,
    history_key,
    mint_change_id,
    same_decisions,
    time_of_change,
    version_of_history_key,
)
from ._checks import RULES, check, check_change
from ._decoding import Decoded, decode, leaves
from ._differences import Difference, differences
from ._documents import (
    decode_document,
    parse_document,
    render_answers,
    render_configuration,
    render_generated,
    with_version,
)
from ._exposition import Sample, read_samples
from ._generator import UNAPPLIED, Generated, generate, unusable_addresses
from ._interview import Prompt, interview
from ._job_account import (
    Cause,
    CauseRow,
    JobAccount,
    JobAccounts,
    account_jobs,
    by_phase,
    spread,
    summarize,
)
from ._loop_account import LoopAccount, account_loops
from ._quantities import ByteCount, ByteRate, Cores, Duration, Quantity, Share
from ._reference import configuration_reference
from ._span_tree import SpanNode, draw, find_trace, read_spans, span_trees
from ._unusual import unusual
from ._violations import Violation

__all__ = [
    "HISTORY_PREFIX",
    "RETAINED_VERSIONS",
    "RULES",
    "UNAPPLIED",
    "Answers",
    "ByteCount",
    "ByteRate",
    "Cause",
    "CauseRow",
    "Cores",
    "Decoded",
    "Difference",
    "Duration",
    "ExecutorAnswer",
    "Generated",
    "JobAccount",
    "JobAccounts",
    "JobAnswer",
    "LinkAnswer",
    "LoopAccount",
    "Measure",
    "Prompt",
    "Quantity",
    "Question",
    "RegionAnswer",
    "Sample",
    "ServiceAnswer",
    "Share",
    "SpanNode",
    "TeamAnswer",
    "Violation",
    "WorkerAnswer",
    "account_jobs",
    "account_loops",
    "by_phase",
    "check",
    "check_change",
    "configuration_reference",
    "decode",
    "decode_document",
    "differences",
    "draw",
    "find_trace",
    "generate",
    "history_key",
    "interview",
    "leaves",
    "mint_change_id",
    "parse_document",
    "read_samples",
    "read_spans",
    "render_answers",
    "render_configuration",
    "render_generated",
    "same_decisions",
    "span_trees",
    "spread",
    "summarize",
    "time_of_change",
    "unusable_addresses",
    "unusual",
    "version_of_history_key",
    "with_version",
]
