"""Finds the addresses of the store, the entries, the planners and the schedulers."""

from __future__ import annotations

import os

from .._errors import SettingsError
from .._links import Address
from ._ctl_output import CommandError, ExitCode

STORE_VARIABLE = "FIREFLYFORK_STORE"
ENTRIES_VARIABLE = "FIREFLYFORK_ENTRIES"
PLANNERS_VARIABLE = "FIREFLYFORK_PLANNERS"
SCHEDULERS_VARIABLE = "FIREFLYFORK_SCHEDULERS"
"""The environment variables that hold the addresses when the command line does not."""


def store_address(given: Address | None) -> Address:
    """Return the store's address. Raises CommandError."""
    addresses = _addresses([given] if given is not None else None, STORE_VARIABLE)
    if not addresses:
        raise _missing_address_error("no store is named", "--store", STORE_VARIABLE)
    return addresses[0]


def entry_addresses(given: list[Address] | None, *, required: bool = True) -> tuple[Address, ...]:
    """Return the operator addresses of entries. Raises CommandError."""
    addresses = _addresses(given, ENTRIES_VARIABLE)
    if required and not addresses:
        raise _missing_address_error("no entry is named", "--entries", ENTRIES_VARIABLE)
    return addresses


def planner_addresses(given: list[Address] | None, *, required: bool = True) -> tuple[Address, ...]:
    """Return the addresses of planners. Raises CommandError."""
    addresses = _addresses(given, PLANNERS_VARIABLE)
    if required and not addresses:
        raise _missing_address_error("no planner is named", "--planners", PLANNERS_VARIABLE)
    return addresses


def scheduler_addresses(given: list[Address] | None) -> tuple[Address, ...]:
    """Return the metrics addresses of schedulers, which may be none. Raises CommandError."""
    return _addresses(given, SCHEDULERS_VARIABLE)


def _addresses(given: list[Address] | None, variable: str) -> tuple[Address, ...]:
    """Return the given addresses, or else those in the variable, separated by blanks or commas."""
    if given:
        return tuple(given)
    words = os.environ.get(variable, "").replace(",", " ").split()
    try:
        return tuple(Address.parse(word) for word in words)
    except SettingsError as error:
        raise CommandError(ExitCode.USAGE, f"{variable}: {error}") from error


def _missing_address_error(message: str, option: str, variable: str) -> CommandError:
    return CommandError(
        ExitCode.USAGE, message, f"give {option} IP:PORT or set the variable {variable}"
    )
