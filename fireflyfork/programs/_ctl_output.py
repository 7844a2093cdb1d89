"""Exit codes, output and error handling that all commands share."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any, TextIO

import msgspec

from .._errors import FireflyforkError
from ..operations import Violation


class ExitCode(IntEnum):
    """The exit codes of ``fireflyfork-ctl``."""

    DONE = 0
    """The command succeeded."""
    FAILED = 1
    """The command failed for a reason that no other code covers; the message states it."""
    USAGE = 2
    """The command line is wrong, or a file has a syntax error or a field of the wrong type."""
    INVALID = 3
    """A configuration breaks rules. Nothing was changed."""
    CONFLICT = 4
    """Another operator changed the configuration first. Nothing was changed."""
    UNAVAILABLE = 5
    """The store, the entry or the planner did not answer. Nothing was changed."""
    UNKNOWN = 6
    """A change was sent but not answered, so it may have taken effect."""
    NOT_FOUND = 7
    """The version, job, task or trace does not exist."""
    REFUSED = 8
    """The entry or planner refused the request and gave a reason. Nothing was changed."""


class CommandError(FireflyforkError):
    """Ends a command with a message, a hint and an exit code."""

    def __init__(self, code: ExitCode, message: str, hint: str = "") -> None:
        """``hint`` tells the operator how to fix the problem; it may be empty."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.hint = hint


class Output:
    """Prints the results, progress and errors of a command.

    Results go to standard output as text or JSON; progress and errors go to standard error.
    """

    def __init__(self, json: bool, out: TextIO | None = None, error: TextIO | None = None) -> None:
        """``json`` prints results and errors as JSON. The streams default to the process's own."""
        self._json = json
        self._out = out or sys.stdout
        self._error = error or sys.stderr

    def result(self, plain: Any, lines: Iterable[str]) -> None:
        """Print the result of a command: ``plain`` as JSON, or ``lines`` as text."""
        if self._json:
            text = msgspec.json.format(msgspec.json.encode(plain), indent=2).decode()
            print(text, file=self._out)
            return
        for line in lines:
            print(line, file=self._out)

    def progress(self, text: str) -> None:
        """Print the progress of a long operation."""
        print(text, file=self._error, flush=True)

    def ask(self, text: str) -> None:
        """Print a question to the terminal. The caller reads the reply."""
        print(text, end="", file=self._error, flush=True)

    def violations(self, source: str, violations: tuple[Violation, ...]) -> None:
        """Print all violations in a file, or that there are none."""
        count = f"{len(violations)} violation{'s' if len(violations) != 1 else ''}"
        lines = [f"{source}: {count}" if violations else f"{source}: all rules hold"]
        lines += [line for violation in violations for line in _violation_lines(violation)]
        self.result({"file": source, "violations": violations}, lines)

    def failure(self, error: CommandError) -> None:
        """Print why a command failed, and its hint."""
        if self._json:
            plain = {"error": error.message, "hint": error.hint, "exit_code": int(error.code)}
            print(msgspec.json.encode(plain).decode(), file=self._error)
            return
        print(f"error: {error.message}", file=self._error)
        if error.hint:
            print(f"hint: {error.hint}", file=self._error)


def _violation_lines(violation: Violation) -> tuple[str, ...]:
    return (
        f"  {violation.path}",
        f"    value: {violation.value}",
        f"    rule:  {violation.rule}",
        f"    fix:   {violation.fix}",
    )


def run_and_report(output: Output, command: Callable[[], ExitCode]) -> ExitCode:
    """Run a command and return its exit code; a CommandError is printed and becomes its exit code."""
    try:
        return command()
    except CommandError as error:
        output.failure(error)
        return error.code


def format_table(header: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> list[str]:
    """Format rows as lines of left-aligned columns under their headers."""
    cells = [header, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
