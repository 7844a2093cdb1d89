"""The stored configuration and its history, through the store's interface."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from .._contracts import Configuration
from .._errors import FireflyforkError, StoreConflictError, StoreError, StoreUnavailableError
from .._ids import ChangeId, ConfigurationVersion, Revision
from ..adapters import Store
from ..operations import (
    CONFIGURATION_KEY,
    HISTORY_PREFIX,
    RETAINED_VERSIONS,
    Settlement,
    decode_configuration,
    encode_configuration,
    history_key,
    mint_change_id,
    settle,
    version_of_history_key,
)

_FIRST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 5.0
_ARCHIVE_PAUSES_SECONDS = (0.2, 1.0)


class ChangeLostError(FireflyforkError):
    """Another change came first; the configuration in force is ``current``."""

    def __init__(self, current: Configuration | None) -> None:
        """``current`` is what the store holds."""
        super().__init__("another change came first")
        self.current = current


class ChangeUnknownError(FireflyforkError):
    """The change was sent, and no read since then could tell whether it took effect."""

    def __init__(self, change_id: ChangeId) -> None:
        """``change_id`` is in the stored configuration if it did."""
        super().__init__(f"change {change_id} may have taken effect")
        self.change_id = change_id


@dataclass(frozen=True, slots=True)
class Current:
    """The configuration in force and the revision of its key; None and 0 in an empty store."""

    configuration: Configuration | None
    revision: Revision


class ConfigurationStore:
    """Reads and changes the stored configuration.

    A change first archives the version that it replaces and then writes by compare-and-swap. In
    this order every version that was ever replaced stands in the history, which is what settles
    the fate of a write whose answer was lost.
    """

    def __init__(
        self,
        store: Store,
        patience_seconds: float = 30.0,
        progress: Callable[[str], None] = lambda text: None,
        randomness: random.Random | None = None,
    ) -> None:
        """``patience_seconds`` bounds the search for the fate of a write without an answer."""
        self._store = store
        self._patience = patience_seconds
        self._progress = progress
        self._randomness = randomness or random.SystemRandom()

    def mint_change_id(self) -> ChangeId:
        """A change id that no other change has."""
        return mint_change_id(time.time(), self._randomness)

    async def current(self) -> Current:
        """What is in force. Raises StoreUnavailableError and SettingsError."""
        stored = await self._store.read(CONFIGURATION_KEY)
        if stored is None:
            return Current(None, Revision(0))
        return Current(decode_configuration(stored.value), stored.revision)

    async def version(self, version: ConfigurationVersion) -> Configuration | None:
        """One version, in force or archived. Raises as ``current`` does."""
        present = (await self.current()).configuration
        if present is not None and present.version == version:
            return present
        return await self._archived(version)

    async def versions(self) -> tuple[ConfigurationVersion, ...]:
        """The archived versions, oldest first."""
        keys = await self._store.keys(HISTORY_PREFIX)
        return tuple(version_of_history_key(key) for key in keys)

    async def replace(self, current: Current, written: Configuration) -> None:
        """Put ``written`` in the place of ``current``.

        Raises ChangeLostError and ChangeUnknownError, and StoreUnavailableError when the store
        failed before anything was changed.
        """
        await self._archive(current.configuration)
        try:
            await self._store.write(
                CONFIGURATION_KEY, encode_configuration(written), current.revision
            )
        except StoreConflictError:
            raise ChangeLostError((await self.current()).configuration) from None
        except StoreUnavailableError:
            await self._settle(current, written)
        await self._prune(written.version)

    async def _archived(self, version: ConfigurationVersion) -> Configuration | None:
        stored = await self._store.read(history_key(version))
        return decode_configuration(stored.value) if stored is not None else None

    async def _archive(self, configuration: Configuration | None) -> None:
        if configuration is None:
            return
        for pause in _ARCHIVE_PAUSES_SECONDS:
            try:
                await self._create_archived(configuration)
                return
            except StoreUnavailableError:
                self._progress(f"no answer from the store; trying again in {pause} s")
                await trio.sleep(pause)
        await self._create_archived(configuration)

    async def _create_archived(self, configuration: Configuration) -> None:
        value = encode_configuration(configuration)
        # Two operators may archive the same version at once, or a lost answer be repeated; the
        # copy that is already there is as good.
        with suppress(StoreConflictError):
            await self._store.write(history_key(configuration.version), value, Revision(0))

    async def _settle(self, current: Current, written: Configuration) -> None:
        """Find out what became of a write without an answer; repeat it while that is safe.

        The answer is lost after the store took the change, or the request on its way there. Taken
        for a failure, the operator would apply a second time and replace what somebody else has
        changed since. The repeat carries the same revision and change id, so at most one of the
        two takes effect, and reading back tells which.
        """
        pause = _FIRST_PAUSE_SECONDS
        deadline = trio.current_time() + self._patience
        while trio.current_time() < deadline:
            self._progress(f"no answer from the store; reading back change {written.change_id}")
            await trio.sleep(pause)
            pause = min(2 * pause, _LONGEST_PAUSE_SECONDS)
            with suppress(StoreUnavailableError):
                if await self._is_settled(current, written):
                    return
        raise ChangeUnknownError(written.change_id)

    async def _is_settled(self, current: Current, written: Configuration) -> bool:
        found = await self.current()
        archived = await self._archived(written.version)
        settlement = settle(written, found.configuration, archived)
        if settlement is Settlement.LOST:
            raise ChangeLostError(found.configuration)
        if settlement is Settlement.UNKNOWN:
            raise ChangeUnknownError(written.change_id)
        if settlement is not Settlement.OPEN:
            return True
        with suppress(StoreConflictError):
            value = encode_configuration(written)
            await self._store.write(CONFIGURATION_KEY, value, current.revision)
            return True
        return False

    async def _prune(self, version: ConfigurationVersion) -> None:
        """Delete the version that falls out of the history; a failure leaves it, harmlessly."""
        oldest = ConfigurationVersion(version - RETAINED_VERSIONS - 1)
        if oldest < 1:
            return
        with suppress(StoreError):
            stored = await self._store.read(history_key(oldest))
            if stored is not None:
                await self._store.delete(history_key(oldest), stored.revision)
