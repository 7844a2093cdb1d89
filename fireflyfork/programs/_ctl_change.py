"""Applies a change to the stored configuration and prints its outcome."""

from __future__ import annotations

from typing import Any

from .._contracts import Configuration
from .._ids import ConfigurationVersion
from ..operations import Violation, check_change, differences, has_same_settings, unusual_values
from ._ctl_output import CommandError, ExitCode, Output
from ._ctl_store import ChangeLostError, ConfigurationStore, CurrentConfiguration

_MAX_DIFFERENCE_LINES = 60


class ConfigurationChange:
    """One change of the stored configuration."""

    def __init__(self, output: Output, dry_run: bool, note: str, accept_unusual: bool) -> None:
        """``dry_run`` only prints what would change. ``note`` is stored in the history."""
        self._output = output
        self._accept_unusual = accept_unusual
        self._dry_run = dry_run
        self._note = note

    async def apply(
        self, config_store: ConfigurationStore, proposed: Configuration
    ) -> ConfigurationVersion | None:
        """Apply ``proposed`` and return the version that is then in force, or None after a dry run."""
        current = await config_store.current()
        in_force = current.configuration
        if in_force is not None and has_same_settings(in_force, proposed):
            self._print_result("unchanged", in_force, in_force)
            return in_force.version
        if in_force is not None and in_force.version != proposed.version:
            await self._raise_conflict(config_store, proposed.version, in_force)
        return await self._write(config_store, current, proposed)

    async def roll_back(
        self, config_store: ConfigurationStore, version: ConfigurationVersion
    ) -> ConfigurationVersion | None:
        """Apply the contents of an earlier version; see ``apply``."""
        earlier = await find_version(config_store, version)
        current = await config_store.current()
        in_force = current.configuration
        if in_force is not None and has_same_settings(in_force, earlier):
            self._print_result("unchanged", in_force, in_force)
            return in_force.version
        return await self._write(config_store, current, earlier)

    async def _write(
        self,
        config_store: ConfigurationStore,
        current: CurrentConfiguration,
        proposed: Configuration,
    ) -> ConfigurationVersion | None:
        in_force = current.configuration
        violations = check_change(in_force, proposed)
        if violations:
            reasons = "; ".join(str(violation) for violation in violations)
            raise CommandError(ExitCode.INVALID, reasons)
        self._check_unusual(unusual_values(in_force, proposed))
        written = config_store.prepare(proposed, current, self._note)
        if self._dry_run:
            self._print_result("would change", in_force, written)
            return None
        try:
            await config_store.replace(current, written)
        except ChangeLostError as error:
            await self._raise_conflict(
                config_store, in_force.version if in_force else None, error.current
            )
        self._print_result("accepted", in_force, written)
        return written.version

    def _check_unusual(self, unusual_values: tuple[Violation, ...]) -> None:
        """Report unusual values. Raises CommandError unless they are accepted or this is a dry run."""
        listing = "\n".join(f"  {violation}" for violation in unusual_values)
        if unusual_values and not (self._accept_unusual or self._dry_run):
            raise CommandError(
                ExitCode.INVALID,
                f"unusual values, nothing was changed:\n{listing}",
                "if they are intended, give --accept-unusual",
            )
        if unusual_values:
            self._output.progress(f"unusual values:\n{listing}")

    async def _raise_conflict(
        self,
        config_store: ConfigurationStore,
        base: ConfigurationVersion | None,
        current: Configuration | None,
    ) -> None:
        """Raise a CommandError that shows what changed between ``base`` and ``current``."""
        before = await config_store.version(base) if base else None
        changes = differences(before, current)
        since = f"version {base}" if base else "an empty store"
        version = current.version if current is not None else "none"
        listing = "\n".join(_difference_lines(changes))
        listing = (
            listing if before is not None or not base else f"(version {base} is no longer kept)"
        )
        raise CommandError(
            ExitCode.CONFLICT,
            f"this change was made from {since}, but version {version} is in force. Nothing was "
            f"changed. Since then:\n{listing}",
            f"repeat your change on version {version} (fireflyfork-ctl show), or give "
            f"--base {version} to overwrite that version",
        )

    def _print_result(
        self, outcome: str, before: Configuration | None, after: Configuration
    ) -> None:
        changes = differences(before, after)
        plain: dict[str, Any] = {
            "outcome": outcome,
            "version": after.version,
            "change_id": after.change_id,
            "differences": changes,
        }
        lines = _difference_lines(changes)
        lines.append(f"{outcome}: version {after.version}, change {after.change_id or '(none)'}")
        self._output.result(plain, lines)


async def find_version(config_store: ConfigurationStore, version: int | None) -> Configuration:
    """Return a version, or the configuration in force for None. Raises CommandError."""
    if version is None:
        configuration = (await config_store.current()).configuration
        missing = "the store holds no configuration yet"
        hint = "fireflyfork-ctl questionnaire makes one, fireflyfork-ctl apply puts it in force"
    else:
        configuration = await config_store.version(ConfigurationVersion(version))
        missing = f"version {version} is not in the store"
        hint = "fireflyfork-ctl history lists the versions"
    if configuration is None:
        raise CommandError(ExitCode.NOT_FOUND, missing, hint)
    return configuration


def _difference_lines(changes: tuple[Any, ...]) -> list[str]:
    lines = [f"  {difference}" for difference in changes[:_MAX_DIFFERENCE_LINES]]
    if len(changes) > _MAX_DIFFERENCE_LINES:
        lines.append(f"  and {len(changes) - _MAX_DIFFERENCE_LINES} more")
    return lines or ["  no differences"]
