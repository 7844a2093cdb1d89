"""Runs commands that access the store and translates their errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from .._errors import SettingsError, StoreUnavailableError
from ._ctl_output import CommandError, ExitCode
from ._ctl_store import ChangeUnknownError

T = TypeVar("T")


def run_store_command(call: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous call to the store. Raises CommandError in place of the store's errors."""

    async def main() -> T:
        return await call()

    try:
        return trio.run(main)
    except StoreUnavailableError as error:
        raise CommandError(
            ExitCode.UNAVAILABLE,
            f"the store can't be reached, and nothing was changed: {error}",
            "running services and tasks are not affected; try again when the store is back",
        ) from error
    except ChangeUnknownError as error:
        raise CommandError(
            ExitCode.UNKNOWN,
            f"the store stopped answering, and {error}",
            "when it is back, run fireflyfork-ctl show: the change is in force if it shows "
            "this change id; applying the same file again is safe",
        ) from error
    except SettingsError as error:
        raise CommandError(ExitCode.FAILED, str(error)) from error
