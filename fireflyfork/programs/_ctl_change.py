"""Applies a change to the stored configuration and prints its outcome."""

from __future__ import annotations

from typing import Any

from .._contracts import Configuration
from .._ids import ConfigurationVersion
from ..operations import Violation, check_change, differences, has_same_settings, unusual_values
from ._ctl_output import CommandError, ExitCode, Output
from ._ctl_store import ChangeLostError, ConfigurationStore, Current

_LONGEST_DIFFERENCE_LINES = 60


class Change:
    """One change of the stored configuration."""

    def __init__(self, output: Output, dry_run: bool, note: str, accept_unusual: bool) -> None:
        """``dry_run`` only prints what would change. ``note`` is stored in the history."""
        self._output = output
        self._accept_unusual = accept_unusual
        self._dry_run = dry_run
        self._note = note

    async def apply(
        self, stored: ConfigurationStore, proposed: Configuration
    ) -> ConfigurationVersion | None:
        """Apply ``proposed`` and return the version that is then in force, or None after a dry run."""
        current = await stored.current()
        present = current.configuration
        if present is not None and has_same_settings(present, proposed):
            self._result("unchanged", present, present)
            return present.version
        if present is not None and present.version != proposed.version:
            await self._lost(stored, proposed.version, present)
        return await self._write(stored, current, proposed)

    async def roll_back(
        self, stored: ConfigurationStore, version: ConfigurationVersion
    ) -> ConfigurationVersion | None:
        """Apply the contents of an earlier version; see ``apply``."""
        earlier = await find_version(stored, version)
        current = await stored.current()
        present = current.configuration
        if present is not None and has_same_settings(present, earlier):
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
        self._confirm(unusual_values(present, proposed))
        written = stored.prepare(proposed, current, self._note)
        if self._dry_run:
            self._result("would change", present, written)
            return None
        try:
            await stored.replace(current, written)
        except ChangeLostError as error:
            await self._lost(stored, present.version if present else None, error.current)
        self._result("accepted", present, written)
        return written.version

    def _confirm(self, found: tuple[Violation, ...]) -> None:
        """Report unusual values. Raises CommandError unless they are accepted or this is a dry run."""
        told = "\n".join(f"  {violation}" for violation in found)
        if found and not (self._accept_unusual or self._dry_run):
            raise CommandError(
                ExitCode.INVALID,
                f"unusual values, nothing was changed:\n{told}",
                "if they are intended, give --accept-unusual",
            )
        if found:
            self._output.progress(f"unusual values:\n{told}")

    async def _lost(
        self,
        stored: ConfigurationStore,
        base: ConfigurationVersion | None,
        current: Configuration | None,
    ) -> None:
        """Raise a CommandError that shows what changed between ``base`` and ``current``."""
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
            f"repeat your change on version {version} (fireflyfork-ctl show), or give "
            f"--base {version} to overwrite that version",
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


async def find_version(stored: ConfigurationStore, version: int | None) -> Configuration:
    """Return a version, or the configuration in force for None. Raises CommandError."""
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


def _difference_lines(found: tuple[Any, ...]) -> list[str]:
    lines = [f"  {difference}" for difference in found[:_LONGEST_DIFFERENCE_LINES]]
    if len(found) > _LONGEST_DIFFERENCE_LINES:
        lines.append(f"  and {len(found) - _LONGEST_DIFFERENCE_LINES} more")
    return lines or ["  no differences"]
