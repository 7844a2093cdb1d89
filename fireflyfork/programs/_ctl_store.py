"""Reads, replaces and archives the configuration in the store."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace

import trio

from .._contract_codec import decode_contracts, encode_contracts
from .._contracts import Configuration
from .._errors import FireflyforkError, StoreConflictError, StoreError, StoreUnavailableError
from .._ids import ChangeId, ConfigurationVersion, Revision
from ..adapters import Store
from ..decisions import (
    CONFIGURATION_KEY,
    NO_VERSION,
    ApplyPhase,
    ApplyState,
    ConfigurationOffer,
    WriteOutcome,
    apply_read,
    apply_written,
    decode_configuration,
    encode_configuration,
)
from ..operations import (
    HISTORY_PREFIX,
    RETAINED_VERSIONS,
    history_key,
    mint_change_id,
    version_of_history_key,
)

_INITIAL_PAUSE_SECONDS = 0.2
_MAX_PAUSE_SECONDS = 5.0
_ARCHIVE_PAUSES_SECONDS = (0.2, 1.0)


class ChangeLostError(FireflyforkError):
    """Another operator's change was stored first. ``current`` is the configuration now in force."""

    def __init__(self, current: Configuration | None) -> None:
        """``current`` is the configuration in the store, or None if it is empty."""
        super().__init__("another change came first")
        self.current = current


class ChangeUnknownError(FireflyforkError):
    """The change was sent, and no later read showed whether it took effect."""

    def __init__(self, change_id: ChangeId) -> None:
        """``change_id`` is in the stored configuration if the change took effect."""
        super().__init__(f"change {change_id} may have taken effect")
        self.change_id = change_id


@dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The stored configuration and the revision of its key; None and 0 if the store is empty."""

    offer: ConfigurationOffer | None
    revision: Revision

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, or 0 if the store is empty."""
        return self.offer.version if self.offer is not None else NO_VERSION

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None if the store is empty. Raises SettingsError."""
        return decode_contracts(self.offer.value) if self.offer is not None else None


class ConfigurationStore:
    """Reads and changes the stored configuration.

    Each change first archives the version that it replaces and then writes by compare-and-swap.
    Every replaced version can therefore be shown and rolled back to, until it is older than the
    retained history.
    """

    def __init__(
        self,
        store: Store,
        patience_seconds: float = 30.0,
        progress: Callable[[str], None] = lambda text: None,
        randomness: random.Random | None = None,
    ) -> None:
        """``patience_seconds`` limits how long to determine the outcome of an unanswered write."""
        self._store = store
        self._patience = patience_seconds
        self._progress = progress
        self._randomness = randomness or random.SystemRandom()

    async def current(self) -> CurrentConfiguration:
        """Read the configuration in force. Raises StoreUnavailableError and SettingsError."""
        stored = await self._store.read(CONFIGURATION_KEY)
        if stored is None:
            return CurrentConfiguration(None, Revision(0))
        return CurrentConfiguration(decode_configuration(stored.value), stored.revision)

    async def version(self, version: ConfigurationVersion) -> Configuration | None:
        """Return one version, in force or archived, or None. Raises as ``current`` does."""
        current = await self.current()
        if current.version == version:
            return current.configuration
        stored = await self._store.read(history_key(version))
        return decode_contracts(stored.value) if stored is not None else None

    async def versions(self) -> tuple[ConfigurationVersion, ...]:
        """Return the archived versions, oldest first."""
        keys = await self._store.keys(HISTORY_PREFIX)
        return tuple(version_of_history_key(key) for key in keys)

    def prepare(
        self, proposed: Configuration, current: CurrentConfiguration, note: str
    ) -> Configuration:
        """Return ``proposed`` as the version that follows ``current``, with a new change id.

        The new version is higher than both the stored version and the version that the file was
        made from. Otherwise a store that lost its contents would start at 1 again, and entries,
        which never return to a lower version, would ignore every change until the version exceeded
        theirs.
        """
        version = ConfigurationVersion(max(proposed.version, current.version) + 1)
        change_id = mint_change_id(time.time(), self._randomness)
        return replace(proposed, version=version, change_id=change_id, note=note)

    async def replace(self, current: CurrentConfiguration, written: Configuration) -> None:
        """Replace ``current`` by ``written``.

        Raises ChangeLostError, ChangeUnknownError, and StoreUnavailableError if the store failed
        before anything was changed.
        """
        await self._archive(current.configuration)
        state = ApplyState(
            base=current.version,
            change_id=written.change_id,
            value=encode_contracts(written),
            highest_seen=ConfigurationVersion(written.version - 1),
        )
        state = apply_read(state, current.offer, current.revision)
        await self._write_until_settled(state)
        await self._prune(written.version)

    async def _write_until_settled(self, state: ApplyState) -> None:
        """Retry a write, reading back after errors, until its outcome is known.

        Either the request or its answer may be lost. If a lost answer were treated as a failure,
        the operator would apply the change again and overwrite what another operator has changed
        since.
        """
        pause = _INITIAL_PAUSE_SECONDS
        deadline = trio.current_time() + self._patience
        while state.phase not in (ApplyPhase.ACCEPTED, ApplyPhase.REFUSED):
            if trio.current_time() > deadline:
                raise ChangeUnknownError(state.change_id)
            try:
                state = await self._advance(state)
            except StoreUnavailableError:
                self._progress(f"no answer from the store; reading back change {state.change_id}")
                await trio.sleep(pause)
                pause = min(2 * pause, _MAX_PAUSE_SECONDS)
        if state.phase is ApplyPhase.REFUSED:
            current = CurrentConfiguration(state.current, state.expected)
            raise ChangeLostError(current.configuration)

    async def _advance(self, state: ApplyState) -> ApplyState:
        """Perform one read or write and return the new state.

        Raises StoreUnavailableError when a read fails; an unanswered write becomes part of the
        state.
        """
        if state.phase is ApplyPhase.READING:
            current = await self.current()
            return apply_read(state, current.offer, current.revision)
        return apply_written(state, await self._write(state))

    async def _write(self, state: ApplyState) -> WriteOutcome:
        assert state.proposal is not None
        value = encode_configuration(state.proposal)
        try:
            await self._store.write(CONFIGURATION_KEY, value, state.expected)
        except StoreConflictError:
            return WriteOutcome.LOST
        except StoreUnavailableError:
            self._progress(f"no answer from the store; reading back change {state.change_id}")
            return WriteOutcome.UNKNOWN
        return WriteOutcome.WON

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
        value = encode_contracts(configuration)
        # Two operators may archive the same version at once, or this write may repeat one whose
        # answer was lost. An archived version never changes, so the existing copy is identical.
        with suppress(StoreConflictError):
            await self._store.write(history_key(configuration.version), value, Revision(0))

    async def _prune(self, version: ConfigurationVersion) -> None:
        """Delete the version that leaves the retained history. Errors of the store are ignored."""
        oldest = ConfigurationVersion(version - RETAINED_VERSIONS - 1)
        if oldest < 1:
            return
        with suppress(StoreError):
            stored = await self._store.read(history_key(oldest))
            if stored is not None:
                await self._store.delete(history_key(oldest), stored.revision)
