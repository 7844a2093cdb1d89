"""The commands on configurations: check, apply, show, history, rollback."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

from .._contracts import Configuration
from .._ids import ConfigurationVersion
from .._links import Address
from ..adapters import HttpStore
from ..operations import (
    Violation,
    check,
    check_change,
    differences,
    render_configuration,
    same_decisions,
    time_of_change,
    unusual,
    with_version,
)
from ._ctl_addresses import store_address
from ._ctl_files import read_configuration, read_text
from ._ctl_output import CommandError, ExitCode, Output, finish, table
from ._ctl_run import run_command
from ._ctl_store import ChangeLostError, ConfigurationStore, Current

_LONGEST_DIFFERENCE_LINES = 60


def check_file(file: Path, *, json: bool = False) -> ExitCode:
    """Check a configuration file against every rule, and report all violations at once.

    Nothing is read from or written to the store. Exit status: 0 when all rules hold, 3 when some
    are broken, 2 when the file can't be decoded.

    Examples::

        fireflyfork-ctl check naidu.jsonc
        fireflyfork-ctl check naidu.jsonc --json

    :param file: configuration file, as ``questionnaire`` writes it
    :param json: print the violations as JSON
    """
    output = Output(json)
    return finish(output, lambda: _check(file, output))


def apply(
    file: Path,
    *,
    store: Address | None = None,
    dry_run: bool = False,
    note: str = "",
    base: int | None = None,
    accept_unusual: bool = False,
    patience: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Check a configuration file and put it in force.

    The file says which version it was made from; when another operator's change has come since,
    nothing is changed and the differences are shown. A write whose answer is lost is settled by
    reading back its change id. The accepted version number is written into the file. Values that
    no rule forbids, but that a slip of a unit would produce, must be accepted knowingly. Exit
    status: 0 in force, 3 invalid or unusual, 4 another change came first, 5 store down and nothing
    changed, 6 may have taken effect.

    Examples::

        fireflyfork-ctl apply naidu.jsonc --store 10.0.0.5:2379 --dry-run
        fireflyfork-ctl apply naidu.jsonc --store 10.0.0.5:2379 --note "two more executors"

    :param file: configuration file, as ``questionnaire`` writes it
    :param store: the store's IP:port; else the variable FIREFLYFORK_STORE
    :param dry_run: show what would change, and change nothing
    :param note: why; the history shows it
    :param accept_unusual: apply also when a value takes a large step or one target differs from the rest
    :param base: version to replace instead of the one that the file names
    :param patience: seconds to search for the fate of a write that got no answer
    :param json: print the result as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        proposed = _read_valid(file, output)
        if proposed is None:
            return ExitCode.INVALID
        if base is not None:
            proposed = _with_base(proposed, ConfigurationVersion(base))
        change = _Change(output, dry_run, note, accept_unusual)
        stored = _stored(store, output, patience)
        version = run_command(lambda: change.apply(stored, proposed))
        if version is not None:
            _record_version(file, version, output)
        return ExitCode.DONE

    return finish(output, command)


def rollback(
    version: int,
    *,
    store: Address | None = None,
    dry_run: bool = False,
    note: str = "",
    patience: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Put an earlier version in force again, as a new version.

    Versions only grow, so entries take the rollback as they take any change.

    Examples::

        fireflyfork-ctl history --store 10.0.0.5:2379
        fireflyfork-ctl rollback 7 --store 10.0.0.5:2379 --note "8 shed too much"

    :param version: the version whose contents come back
    :param store: the store's IP:port; else the variable FIREFLYFORK_STORE
    :param dry_run: show what would change, and change nothing
    :param note: why; the history shows it
    :param patience: seconds to search for the fate of a write that got no answer
    :param json: print the result as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        reason = note or f"rollback to version {version}"
        change = _Change(output, dry_run, reason, accept_unusual=True)
        stored = _stored(store, output, patience)
        run_command(lambda: change.roll_back(stored, ConfigurationVersion(version)))
        return ExitCode.DONE

    return finish(output, command)


def show(
    *, store: Address | None = None, version: int | None = None, json: bool = False
) -> ExitCode:
    """Print the configuration in force, or an earlier version, as a file that ``apply`` takes.

    Examples::

        fireflyfork-ctl show --store 10.0.0.5:2379 > naidu.jsonc
        fireflyfork-ctl show --store 10.0.0.5:2379 --version 3

    :param store: the store's IP:port; else the variable FIREFLYFORK_STORE
    :param version: an earlier version
    :param json: print plain JSON, without the comment
    """
    output = Output(json)

    def command() -> ExitCode:
        stored = _stored(store, output)
        found = run_command(lambda: _version(stored, version))
        title = f"Version {found.version}, change {found.change_id}."
        output.result(found, [render_configuration(found, title).rstrip()])
        return ExitCode.DONE

    return finish(output, command)


def history(*, store: Address | None = None, last: int = 20, json: bool = False) -> ExitCode:
    """List the versions of the configuration with what each changed.

    Examples::

        fireflyfork-ctl history --store 10.0.0.5:2379
        fireflyfork-ctl history --store 10.0.0.5:2379 --last 5 --json

    :param store: the store's IP:port; else the variable FIREFLYFORK_STORE
    :param last: how many versions to list
    :param json: print the list as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        stored = _stored(store, output)
        found = run_command(lambda: _last_versions(stored, last))
        pairs = zip([None, *found], found, strict=False)
        rows = [_history_row(earlier, each) for earlier, each in pairs][-last:]
        header = ("version", "time", "changes", "note")
        lines = table(header, rows)
        output.result([dict(zip(header, row, strict=True)) for row in rows], lines)
        return ExitCode.DONE

    return finish(output, command)


class _Change:
    """One attempt to change the stored configuration."""

    def __init__(self, output: Output, dry_run: bool, note: str, accept_unusual: bool) -> None:
        self._output = output
        self._accept_unusual = accept_unusual
        self._dry_run = dry_run
        self._note = note

    async def apply(
        self, stored: ConfigurationStore, proposed: Configuration
    ) -> ConfigurationVersion | None:
        """The version now in force with these contents, or None after a dry run."""
        current = await stored.current()
        present = current.configuration
        if present is not None and same_decisions(present, proposed):
            self._result("unchanged", present, present)
            return present.version
        if present is not None and present.version != proposed.version:
            await self._lost(stored, proposed.version, present)
        return await self._write(stored, current, proposed)

    async def roll_back(
        self, stored: ConfigurationStore, version: ConfigurationVersion
    ) -> ConfigurationVersion | None:
        """As ``apply``, with the contents of an earlier version."""
        earlier = await _version(stored, version)
        current = await stored.current()
        present = current.configuration
        if present is not None and same_decisions(present, earlier):
            self._result("unchanged", present, present)
            return present.version
        return await self._write(stored, current, earlier)

    async def _write(
        self, stored: ConfigurationStore, current: Current, proposed: Configuration
    ) -> ConfigurationVersion | None:
        present = current.configuration
        violations = check_change(present, proposed)
        if violations:
            reasons = "; ".join(str(violation) for violation in violations)
            raise CommandError(ExitCode.INVALID, reasons)
        self._confirm(unusual(present, proposed))
        written = stored.prepare(proposed, current, self._note)
        if self._dry_run:
            self._result("would change", present, written)
            return None
        try:
            await stored.replace(current, written)
        except ChangeLostError as error:
            await self._lost(stored, present.version if present else None, error.current)
        self._result("in force", present, written)
        return written.version

    def _confirm(self, found: tuple[Violation, ...]) -> None:
        """Name unusual values, and end the command unless they are accepted or only shown."""
        told = "\n".join(f"  {violation}" for violation in found)
        if found and not (self._accept_unusual or self._dry_run):
            raise CommandError(
                ExitCode.INVALID,
                f"unusual, and so nothing was changed:\n{told}",
                "if it is meant, give --accept-unusual",
            )
        if found:
            self._output.progress(f"unusual:\n{told}")

    async def _lost(
        self,
        stored: ConfigurationStore,
        base: ConfigurationVersion | None,
        current: Configuration | None,
    ) -> None:
        """Tell the loser of a race what the winner changed, and end the command."""
        before = await stored.version(base) if base else None
        found = differences(before, current)
        since = f"version {base}" if base else "an empty store"
        version = current.version if current is not None else "none"
        told = "\n".join(_difference_lines(found))
        told = told if before is not None or not base else f"(version {base} is no longer kept)"
        raise CommandError(
            ExitCode.CONFLICT,
            f"this change was made from {since}, but version {version} is in force. Nothing was "
            f"changed. Since then:\n{told}",
            f"put your change on top of version {version} (fireflyfork-ctl show), or give "
            f"--base {version} to replace it knowingly",
        )

    def _result(self, outcome: str, before: Configuration | None, after: Configuration) -> None:
        found = differences(before, after)
        plain: dict[str, Any] = {
            "outcome": outcome,
            "version": after.version,
            "change_id": after.change_id,
            "differences": found,
        }
        lines = _difference_lines(found)
        lines.append(f"{outcome}: version {after.version}, change {after.change_id or '(none)'}")
        self._output.result(plain, lines)


def _check(file: Path, output: Output) -> ExitCode:
    configuration = read_configuration(file, output)
    violations = check(configuration)
    output.violations(str(file), violations)
    return ExitCode.INVALID if violations else ExitCode.DONE


def _read_valid(file: Path, output: Output) -> Configuration | None:
    """The configuration in a file, or None after its violations were reported."""
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


def _with_base(proposed: Configuration, base: ConfigurationVersion) -> Configuration:
    return replace(proposed, version=base)


def _stored(store: Address | None, output: Output, patience: float = 30.0) -> ConfigurationStore:
    return ConfigurationStore(HttpStore(store_address(store)), patience, output.progress)


async def _version(stored: ConfigurationStore, version: int | None) -> Configuration:
    if version is None:
        found = (await stored.current()).configuration
        missing = "the store holds no configuration yet"
        hint = "fireflyfork-ctl questionnaire makes one, fireflyfork-ctl apply puts it in force"
    else:
        found = await stored.version(ConfigurationVersion(version))
        missing = f"version {version} is not in the store"
        hint = "fireflyfork-ctl history lists the versions"
    if found is None:
        raise CommandError(ExitCode.NOT_FOUND, missing, hint)
    return found


async def _last_versions(stored: ConfigurationStore, last: int) -> list[Configuration]:
    """The newest versions and one before them, oldest first."""
    present = (await stored.current()).configuration
    if present is None:
        return []
    earlier = [version for version in await stored.versions() if version < present.version]
    found = [await stored.version(version) for version in earlier[-last:]]
    return [configuration for configuration in found if configuration is not None] + [present]


def _history_row(earlier: Configuration | None, configuration: Configuration) -> tuple[object, ...]:
    count = len(differences(earlier, configuration))
    when = time_of_change(configuration.change_id)
    return (configuration.version, when, count, configuration.note)


def _difference_lines(found: tuple[Any, ...]) -> list[str]:
    lines = [f"  {difference}" for difference in found[:_LONGEST_DIFFERENCE_LINES]]
    if len(found) > _LONGEST_DIFFERENCE_LINES:
        lines.append(f"  and {len(found) - _LONGEST_DIFFERENCE_LINES} more")
    return lines or ["  no differences"]
