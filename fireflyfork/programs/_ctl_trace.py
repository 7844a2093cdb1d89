"""The command ``trace``: shows the hops of one request."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from itertools import chain
from pathlib import Path

from .._traces import Span
from ..operations import draw_trees, find_trace, read_spans, span_trees
from ._ctl_output import CommandError, ExitCode, Output, run_and_report


def trace(wanted: str, *files: Path, json: bool = False) -> ExitCode:
    """Show the hops of a request as a tree, from the spans that the processes logged.

    Each process writes its spans to standard output. Give the files that contain them, or a
    directory of such files, or pipe them in. Exit status: 7 when no span belongs to the request.

    Examples::

        fireflyfork-ctl trace 4bf92f3577b34da6a3ce929d0e0e4736 run/spans/
        cat entry-*.jsonl | fireflyfork-ctl trace 0198f3c2-7c1e-7d3f-9a60-0242ac120002

    :param wanted: trace id, request id or idempotency key
    :param files: files of JSON lines, or directories of them; standard input when none is given
    :param json: print the spans as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        lines = chain.from_iterable(map(read_lines, files)) if files else sys.stdin
        spans = find_trace(read_spans(lines), wanted)
        if not spans:
            raise CommandError(
                ExitCode.NOT_FOUND,
                f"no span belongs to {wanted}",
                "a request is traced when its traceparent header says so or it came without one; "
                "look in the files of every process that it passed",
            )
        output.result(spans, _trace_lines(spans))
        return ExitCode.DONE

    return run_and_report(output, command)


def _trace_lines(spans: tuple[Span, ...]) -> Iterator[str]:
    """Yield the lines of each trace; several traces can share one idempotency key."""
    for trace_id in dict.fromkeys(span.trace_id for span in spans):
        yield f"trace {trace_id}"
        yield from draw_trees(span_trees(span for span in spans if span.trace_id == trace_id))


def read_lines(file: Path) -> Iterator[str]:
    """Yield the lines of a file, or of all files of a directory. Raises CommandError."""
    try:
        for path in sorted(file.iterdir()) if file.is_dir() else [file]:
            with path.open(encoding="utf-8", errors="replace") as opened:
                yield from opened
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{file} can't be read: {error}") from error
