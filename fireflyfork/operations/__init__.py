"""The logic behind the operators' commands, without terminal or network I/O.

Decodes and checks questionnaire answers and configurations, generates and compares configurations,
and analyses logs, metrics and traces.
"""

from ._advice_account import AdviceAccount, account_advice
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
    has_same_settings,
    history_key,
    mint_change_id,
    time_of_change,
    version_of_history_key,
)
from ._checks import RULES, check, check_change
from ._decoding import Decoded, decode, iter_leaves
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
    late_jobs_by_phase,
    late_seconds_by_cause,
    summarize,
)
from ._loop_account import LoopAccount, account_loops
from ._quantities import ByteCount, ByteRate, Cores, Duration, Quantity, Share
from ._reference import configuration_reference
from ._size_account import OutcomeRow, SizeClass, outcomes_by_failure_domain, outcomes_by_size
from ._span_tree import SpanNode, draw_trees, find_trace, read_spans, span_trees
from ._unusual import unusual_values
from ._violations import Violation

__all__ = [
    "HISTORY_PREFIX",
    "RETAINED_VERSIONS",
    "RULES",
    "UNAPPLIED",
    "AdviceAccount",
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
    "OutcomeRow",
    "Prompt",
    "Quantity",
    "Question",
    "RegionAnswer",
    "Sample",
    "ServiceAnswer",
    "Share",
    "SizeClass",
    "SpanNode",
    "TeamAnswer",
    "Violation",
    "WorkerAnswer",
    "account_advice",
    "account_jobs",
    "account_loops",
    "check",
    "check_change",
    "configuration_reference",
    "decode",
    "decode_document",
    "differences",
    "draw_trees",
    "find_trace",
    "generate",
    "has_same_settings",
    "history_key",
    "interview",
    "iter_leaves",
    "late_jobs_by_phase",
    "late_seconds_by_cause",
    "mint_change_id",
    "outcomes_by_failure_domain",
    "outcomes_by_size",
    "parse_document",
    "read_samples",
    "read_spans",
    "render_answers",
    "render_configuration",
    "render_generated",
    "span_trees",
    "summarize",
    "time_of_change",
    "unusable_addresses",
    "unusual_values",
    "version_of_history_key",
    "with_version",
]
