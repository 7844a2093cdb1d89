"""The commands on configurations: check, apply, show, history and rollback."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import trio

from .._contracts import Configuration
from .._ids import ConfigurationVersion
from .._links import Address
from ..adapters import HttpStore
from ..operations import (
    check,
    differences,
    render_configuration,
    time_of_change,
    with_version,
)
from ._ctl_addresses import entry_addresses, store_address
from ._ctl_change import ConfigurationChange, find_version
from ._ctl_entries import has_version, reports_once_in_force
from ._ctl_files import read_configuration, read_text
from ._ctl_output import ExitCode, Output, format_table, run_and_report
from ._ctl_run import run_store_command
from ._ctl_store import ConfigurationStore

_IN_FORCE_SECONDS = 10.0
"""How long to wait until the entries have an accepted version in force."""


def check_file(file: Path, *, json: bool = False) -> ExitCode:
    """Check a configuration file against all rules and report all violations.

    The store is not accessed. Exit status: 0 if all rules hold, 3 if some are broken, 2 if the file
    can't be decoded.

    Examples::

        fireflyfork-ctl check naidu.jsonc
        fireflyfork-ctl check naidu.jsonc --json

    :param file: configuration file, as ``questionnaire`` writes it
    :param json: print the violations as JSON
    """
    output = Output(json)
    return run_and_report(output, lambda: _check(file, output))


def apply(
    file: Path,
    *,
    store: Address | None = None,
    dry_run: bool = False,
    note: str = "",
    base: int | None = None,
    accept_unusual: bool = False,
    patience: float = 30.0,
    entries: list[Address] | None = None,
    json: bool = False,
) -> ExitCode:
    """Check a configuration file and put it in force.

    The file names the version it was made from. If another operator has changed the configuration
    since, nothing is changed and the differences are shown. If the answer to a write is lost, the
    change id is read back to find out whether it took effect. The accepted version number is
    written into the file. Values that no rule forbids but that a wrong unit would produce are
    rejected unless ``--accept-unusual`` is given. If entries are named, the command waits until all
    of them have the version in force. Exit status: 0 accepted, 1 accepted but not in force at every
    entry after 10 s, 3 invalid or unusual, 4 another change came first, 5 the store is down and
    nothing was changed, 6 the change may have taken effect.

    Examples::

        fireflyfork-ctl apply naidu.jsonc --store 10.0.0.5:2379 --dry-run
        fireflyfork-ctl apply naidu.jsonc --store 10.0.0.5:2379 --note "two more executors"

    :param file: configuration file, as ``questionnaire`` writes it
    :param store: the store's IP:port; default: the variable FIREFLYFORK_STORE
    :param dry_run: show what would change, and change nothing
    :param note: reason for the change, shown in the history
    :param accept_unusual: apply the file even if a value changes by a large factor or one target differs from the rest
    :param base: version to replace instead of the version that the file names
    :param patience: seconds to keep checking whether an unanswered write took effect
    :param entries: operator addresses of entries; default: the variable FIREFLYFORK_ENTRIES
    :param json: print the result as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        named_entries = entry_addresses(entries, required=False)
        proposed = _read_valid(file, output)
        if proposed is None:
            return ExitCode.INVALID
        if base is not None:
            proposed = _with_base(proposed, ConfigurationVersion(base))
        change = ConfigurationChange(output, dry_run, note, accept_unusual)
        config_store = _configuration_store(store, output, patience)
        version = run_store_command(lambda: change.apply(config_store, proposed))
        if version is None:
            return ExitCode.DONE
        _record_version(file, version, output)
        return _wait_in_force(named_entries, version, output)

    return run_and_report(output, command)


def rollback(
    version: int,
    *,
    store: Address | None = None,
    dry_run: bool = False,
    note: str = "",
    patience: float = 30.0,
    entries: list[Address] | None = None,
    json: bool = False,
) -> ExitCode:
    """Put an earlier version in force again, as a new version.

    Version numbers only increase, so entries apply a rollback like any other change. Exit status:
    see ``apply``; 7 if the version is not in the store.

    Examples::

        fireflyfork-ctl history --store 10.0.0.5:2379
        fireflyfork-ctl rollback 7 --store 10.0.0.5:2379 --note "8 shed too much"

    :param version: the version whose contents to restore
    :param store: the store's IP:port; default: the variable FIREFLYFORK_STORE
    :param dry_run: show what would change, and change nothing
    :param note: reason for the change, shown in the history
    :param patience: seconds to keep checking whether an unanswered write took effect
    :param entries: operator addresses of entries; default: the variable FIREFLYFORK_ENTRIES
    :param json: print the result as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        named_entries = entry_addresses(entries, required=False)
        reason = note or f"rollback to version {version}"
        change = ConfigurationChange(output, dry_run, reason, accept_unusual=True)
        config_store = _configuration_store(store, output, patience)
        new = run_store_command(
            lambda: change.roll_back(config_store, ConfigurationVersion(version))
        )
        return _wait_in_force(named_entries, new, output) if new is not None else ExitCode.DONE

    return run_and_report(output, command)


def show(
    *, store: Address | None = None, version: int | None = None, json: bool = False
) -> ExitCode:
    """Print the configuration in force, or an earlier version, as a file for ``apply``.

    Examples::

        fireflyfork-ctl show --store 10.0.0.5:2379 > naidu.jsonc
        fireflyfork-ctl show --store 10.0.0.5:2379 --version 3

    :param store: the store's IP:port; default: the variable FIREFLYFORK_STORE
    :param version: an earlier version
    :param json: print plain JSON, without the comment
    """
    output = Output(json)

    def command() -> ExitCode:
        config_store = _configuration_store(store, output)
        configuration = run_store_command(lambda: find_version(config_store, version))
        title = f"Version {configuration.version}, change {configuration.change_id}."
        output.result(configuration, [render_configuration(configuration, title).rstrip()])
        return ExitCode.DONE

    return run_and_report(output, command)


def history(*, store: Address | None = None, last: int = 20, json: bool = False) -> ExitCode:
    """List the versions of the configuration with the number of changes in each.

    Examples::

        fireflyfork-ctl history --store 10.0.0.5:2379
        fireflyfork-ctl history --store 10.0.0.5:2379 --last 5 --json

    :param store: the store's IP:port; default: the variable FIREFLYFORK_STORE
    :param last: how many versions to list
    :param json: print the list as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        config_store = _configuration_store(store, output)
        versions = run_store_command(lambda: _last_versions(config_store, last))
        pairs = zip([None, *versions], versions, strict=False)
        rows = [_history_row(earlier, each) for earlier, each in pairs][-last:]
        header = ("version", "time", "changes", "note")
        lines = format_table(header, rows)
        output.result([dict(zip(header, row, strict=True)) for row in rows], lines)
        return ExitCode.DONE

    return run_and_report(output, command)


def _check(file: Path, output: Output) -> ExitCode:
    configuration = read_configuration(file, output)
    violations = check(configuration)
    output.violations(str(file), violations)
    return ExitCode.INVALID if violations else ExitCode.DONE


def _read_valid(file: Path, output: Output) -> Configuration | None:
    """Return the configuration in a file, or None after printing its violations."""
    configuration = read_configuration(file, output)
    violations = check(configuration)
    if violations:
        output.violations(str(file), violations)
        return None
    return configuration


def _record_version(file: Path, version: ConfigurationVersion, output: Output) -> None:
    text = read_text(file)
    changed = with_version(text, version)
    if changed == text:
        return
    try:
        file.write_text(changed, "utf-8")
    except OSError as error:
        output.progress(f"note: {file} does not record version {version}: {error}")


def _wait_in_force(
    entries: tuple[Address, ...], version: ConfigurationVersion, output: Output
) -> ExitCode:
    """Wait until the given entries have an accepted version in force."""
    if not entries:
        return ExitCode.DONE
    reports = trio.run(reports_once_in_force, entries, version, _IN_FORCE_SECONDS, output)
    in_force_count = sum(has_version((report,), version) for report in reports)
    output.progress(f"version {version} is in force at {in_force_count} of {len(reports)} entries")
    return ExitCode.DONE if in_force_count == len(reports) else ExitCode.FAILED


def _with_base(proposed: Configuration, base: ConfigurationVersion) -> Configuration:
    return replace(proposed, version=base)


def _configuration_store(
    store: Address | None, output: Output, patience: float = 30.0
) -> ConfigurationStore:
    return ConfigurationStore(HttpStore(store_address(store)), patience, output.progress)


async def _last_versions(config_store: ConfigurationStore, last: int) -> list[Configuration]:
    """Return the latest versions and the version before them, oldest first."""
    in_force = (await config_store.current()).configuration
    if in_force is None:
        return []
    earlier = [version for version in await config_store.versions() if version < in_force.version]
    archived = [await config_store.version(version) for version in earlier[-last:]]
    return [configuration for configuration in archived if configuration is not None] + [in_force]


def _history_row(earlier: Configuration | None, configuration: Configuration) -> tuple[object, ...]:
    count = len(differences(earlier, configuration))
    when = time_of_change(configuration.change_id)
    return (configuration.version, when, count, configuration.note)
