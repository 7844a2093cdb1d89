"""Running a command that talks to the store, and what its errors mean."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from .._errors import SettingsError, StoreUnavailableError
from ._ctl_output import CommandError, ExitCode
from ._ctl_store import ChangeUnknownError

T = TypeVar("T")


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
