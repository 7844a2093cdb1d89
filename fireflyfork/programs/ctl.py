"""``fireflyfork-ctl``: the operators' command line."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from .._errors import SettingsError
from .._links import Address
from ._ctl_output import ExitCode


def commands() -> dict[str, Callable[..., Any]]:
    """Each command by its name. Imported only here, so that tests may take single ones."""
    from . import _ctl_configuration, _ctl_questionnaire

    return {
        "questionnaire": _ctl_questionnaire.questionnaire,
        "check": _ctl_configuration.check_file,
        "apply": _ctl_configuration.apply,
        "show": _ctl_configuration.show,
        "history": _ctl_configuration.history,
        "rollback": _ctl_configuration.rollback,
    }


def run(arguments: list[str]) -> ExitCode:
    """Run one command line. Bad arguments raise SystemExit(2), as ``--help`` does with 0."""
    import defopt

    code = defopt.run(
        commands(),
        argv=arguments,
        parsers={Address: _address},
        no_negated_flags=True,
        short={},
        argparse_kwargs={
            "prog": "fireflyfork-ctl",
            "description": "Drive fireflyfork. 'fireflyfork-ctl COMMAND --help' shows examples.",
        },
    )
    assert isinstance(code, ExitCode)
    return code


def main() -> None:
    """Run the program."""
    sys.exit(run(sys.argv[1:]))


def _address(text: str) -> Address:
    """An address on the command line, with the kind of error that argparse reports."""
    try:
        return Address.parse(text)
    except SettingsError as error:
        raise ValueError(str(error)) from error


if __name__ == "__main__":
    main()
