"""Run the commands of a tutorial and write their output below them, in place.

A command is a line that starts with ``$ `` in a block fenced as ``console``. Variables that a
command exports are set for all later commands.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

_PROMPT = "$ "
_CONSOLE = "```console"
_FENCE = "```"
_TIMEOUT_SECONDS = 120.0


class Shell:
    """Runs each command in a new shell that first repeats all earlier ``export`` commands."""

    def __init__(self) -> None:
        """Create a shell without exported variables."""
        self._exports: list[str] = []

    def run(self, command: str) -> Iterator[str]:
        """Run a command and yield the lines that it prints to stdout and stderr, in order."""
        if command.startswith("export "):
            self._exports.append(command)
            return
        script = "\n".join([*self._exports, command])
        ended = subprocess.run(
            ["bash", "-c", script],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            timeout=_TIMEOUT_SECONDS,
            check=False,
            text=True,
        )
        yield from ended.stdout.rstrip("\n").splitlines()


def rewritten(lines: Iterable[str], shell: Shell) -> Iterator[str]:
    """Yield the lines of the tutorial with newly produced output."""
    in_console = False
    for line in lines:
        if in_console and line != _FENCE and not line.startswith(_PROMPT):
            continue
        yield line
        if line == _CONSOLE:
            in_console = True
        elif line == _FENCE:
            in_console = False
        elif in_console:
            print(line, file=sys.stderr)
            yield from shell.run(line.removeprefix(_PROMPT))


def main() -> None:
    """Rewrite the file named on the command line."""
    file = Path(sys.argv[1])
    lines = file.read_text("utf-8").splitlines()
    file.write_text("\n".join([*rewritten(lines, Shell()), ""]), "utf-8")


if __name__ == "__main__":
    main()
