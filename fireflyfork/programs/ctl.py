"""``fireflyfork-ctl``: the operators' command line."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

from .._errors import SettingsError
from .._links import Address
from ._ctl_output import ExitCode


def commands() -> dict[str, Callable[..., Any]]:
    """Return the commands by name.

    The modules are imported here so that tests can import single commands.
    """
    from . import (
        _ctl_account,
        _ctl_configuration,
        _ctl_entries,
        _ctl_jobs,
        _ctl_questionnaire,
        _ctl_status,
        _ctl_trace,
    )

    return {
        "questionnaire": _ctl_questionnaire.questionnaire,
        "check": _ctl_configuration.check_file,
        "apply": _ctl_configuration.apply,
        "show": _ctl_configuration.show,
        "history": _ctl_configuration.history,
        "rollback": _ctl_configuration.rollback,
        "status": _ctl_status.status,
        "submit": _ctl_jobs.submit,
        "cancel": _ctl_jobs.cancel,
        "explain": _ctl_jobs.explain,
        "drain": _ctl_entries.drain,
        "metrics": _ctl_entries.metrics,
        "trace": _ctl_trace.trace,
        "account": _ctl_account.account,
    }


def run(arguments: list[str]) -> ExitCode:
    """Run one command line.

    Raises SystemExit(2) for bad arguments and SystemExit(0) for ``--help``.
    """
    import defopt

    code = defopt.run(
        _selected_commands(arguments),
        argv=arguments,
        parsers=_parsers(),
        no_negated_flags=True,
        short={},
        argparse_kwargs={
            "prog": "fireflyfork-ctl",
            "description": "Drive fireflyfork. 'fireflyfork-ctl COMMAND --help' shows examples.",
        },
    )
    assert isinstance(code, ExitCode)
    return code


def _selected_commands(arguments: list[str]) -> dict[str, Callable[..., Any]]:
    """Return the command that is called, or all commands for the overview.

    Building a command's help from its docstring takes longer than most commands run, so only the
    called command is passed to defopt.
    """
    all_commands = commands()
    name = arguments[0] if arguments else ""
    return {name: all_commands[name]} if name in all_commands else all_commands


def _parsers() -> dict[Any, Callable[[str], Any]]:
    """Return the parsers of command line arguments by parameter type."""
    from ..operations import ByteCount, Cores, Duration

    address = _with_error_message(Address.parse)
    return {
        Address: address,
        Address | None: address,
        ByteCount: _with_error_message(ByteCount.parse),
        Cores: _with_error_message(Cores.parse),
        Duration: _with_error_message(Duration.parse),
    }


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except KeyboardInterrupt:
        print("interrupted; what was sent may have taken effect", file=sys.stderr)
        code = ExitCode.UNKNOWN
    except BrokenPipeError:
        # The reader closed the pipe. Standard output is redirected to the null device, because the
        # interpreter would otherwise report the same error again when it flushes the stream at
        # exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.DONE
    sys.exit(code)


def _with_error_message(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Wrap a parser so that argparse shows its error message along with the rejected text."""
    import argparse

    def read(text: str) -> Any:
        try:
            return parse(text)
        except (SettingsError, ValueError) as error:
            raise argparse.ArgumentTypeError(f"{text!r}: {error}") from error

    return read


if __name__ == "__main__":
    main()
