"""Running a command that talks to the store: its address, and what its errors mean."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from .._errors import SettingsError, StoreUnavailableError
from .._links import Address
from ._ctl_output import CommandError, ExitCode
from ._ctl_store import ChangeUnknownError

T = TypeVar("T")

STORE_VARIABLE = "FIREFLYFORK_STORE"
"""The environment variable that names the store when the command line does not."""


def run_command(call: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous command; what may go wrong with the store becomes a CommandError."""

    async def main() -> T:
        return await call()

    try:
        return trio.run(main)
    except StoreUnavailableError as error:
        raise CommandError(
            ExitCode.UNAVAILABLE,
            f"the store can't be reached, and nothing was changed: {error}",
            "running services and tasks go on meanwhile; try again when the store is back",
        ) from error
    except ChangeUnknownError as error:
        raise CommandError(
            ExitCode.UNKNOWN,
            f"the store stopped answering, and {error}",
            "when it is back, fireflyfork-ctl show tells: the change is in force when it shows "
            "this change id; applying the same file again is safe",
        ) from error
    except SettingsError as error:
        raise CommandError(ExitCode.FAILED, str(error)) from error


def store_address(given: Address | None) -> Address:
    """The store's address from the command line or the environment. Raises CommandError."""
    text = os.environ.get(STORE_VARIABLE)
    if given is not None:
        return given
    if not text:
        hint = f"give --store IP:PORT or set the variable {STORE_VARIABLE}"
        raise CommandError(ExitCode.USAGE, "no store is named", hint)
    try:
        return Address.parse(text)
    except SettingsError as error:
        raise CommandError(ExitCode.USAGE, f"{STORE_VARIABLE}: {error}") from error
