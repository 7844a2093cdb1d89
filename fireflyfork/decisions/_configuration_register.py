"""The configuration register of an entry, and the protocol for an operator's change.

The value in the store is authoritative. It is changed by compare-and-swap, and each version is one
higher than the version that it replaces, so two changes can't both become the same version.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum

import msgpack
import msgspec

from .._decoding import convert, unpack_msgpack
from .._errors import InvalidDataError, SettingsError
from .._ids import ChangeId, ConfigurationVersion, MemberId, Revision
from ._membership_events import WriteOutcome

CONFIGURATION_KEY = "configuration"
"""The store key of the configuration."""

_MAX_HISTORY = 64
"""Number of change ids stored with the value. At 2,000 changes a day, they cover at least the last
half hour."""

NO_VERSION = ConfigurationVersion(0)


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """A configuration as it is stored and passed between entries."""

    version: ConfigurationVersion
    change_id: ChangeId
    value: bytes
    """The encoded configuration."""
    history: tuple[ChangeId, ...] = ()
    """Ids of the changes that made the previous versions, latest first."""


class OfferSource(Enum):
    """Origin of an offer."""

    STORE = "store"
    PEER = "peer"


class OfferOutcome(Enum):
    """Result of comparing an offer with the configuration that is held."""

    TAKEN = "taken"
    KNOWN = "known"
    """The offered configuration is already held."""
    OLDER = "older"
    """The offered version is lower. If it is the store's, the store was rolled back: report it."""
    CONFLICT = "conflict"
    """Same version, different change: a write bypassed compare-and-swap. Report it."""


@dataclass(frozen=True, slots=True)
class RegisterState:
    """The configuration that one entry holds, and the progress of its start."""

    held: ConfigurationOffer | None = None
    pending_peers: frozenset[MemberId] = frozenset()
    """Peers that were queried at the start and have neither answered nor failed yet."""
    store_answered: bool = False

    @property
    def version(self) -> ConfigurationVersion:
        """The version held, or 0 if none is held."""
        return self.held.version if self.held is not None else NO_VERSION

    @property
    def ready(self) -> bool:
        """Whether the held configuration may be put in force.

        After a restart, an entry doesn't rely on one peer while the store or another peer may have
        a higher version: it might serve an older configuration than before the restart.
        """
        return self.held is not None and (self.store_answered or not self.pending_peers)


def begin_register(peers: Collection[MemberId]) -> RegisterState:
    """Return the state of an entry that has just started and queries the store and ``peers``."""
    return RegisterState(pending_peers=frozenset(peers))


def merge_offer(
    state: RegisterState, offer: ConfigurationOffer, source: OfferSource
) -> tuple[RegisterState, OfferOutcome]:
    """Adopt an offer if its version is higher than the one held.

    On a conflict the store's value wins, so that all entries converge on it; in a conflict between
    peers the held value is kept.
    """
    if source is OfferSource.STORE:
        state = replace(state, store_answered=True)
    held = state.held
    if held is None or offer.version > held.version:
        return replace(state, held=offer), OfferOutcome.TAKEN
    if offer.version < held.version:
        return state, OfferOutcome.OLDER
    if offer.change_id == held.change_id:
        return state, OfferOutcome.KNOWN
    if source is OfferSource.STORE:
        state = replace(state, held=offer)
    return state, OfferOutcome.CONFLICT


def record_empty_store(state: RegisterState) -> RegisterState:
    """Record that the store answered and holds no configuration yet."""
    return replace(state, store_answered=True)


def record_peer_finished(state: RegisterState, peer: MemberId) -> RegisterState:
    """Record that a peer queried at the start has answered or can't be reached."""
    return replace(state, pending_peers=state.pending_peers - {peer})


class ApplyPhase(Enum):
    """Phase of an operator's change."""

    READING = "reading"
    """Read the store, then call ``apply_read``."""
    WRITING = "writing"
    """Write ``proposal`` at ``expected``, then call ``apply_written``."""
    ACCEPTED = "accepted"
    """The change is version ``proposal.version``.

    Send it to an entry as well: the store may fail before it notifies the entries.
    """
    REFUSED = "refused"
    """Another change, ``current``, was accepted first; nothing was overwritten."""


@dataclass(frozen=True, slots=True)
class ApplyState:
    """One change of the configuration by one operator."""

    base: ConfigurationVersion
    """The version that the operator edited; 0 for the first configuration."""
    change_id: ChangeId
    value: bytes
    highest_seen: ConfigurationVersion = NO_VERSION
    """Highest version reported by any entry; above the store's if the store was rolled back."""
    phase: ApplyPhase = ApplyPhase.READING
    current: ConfigurationOffer | None = None
    proposal: ConfigurationOffer | None = None
    expected: Revision = field(default=Revision(0))


def apply_read(
    state: ApplyState, current: ConfigurationOffer | None, revision: Revision
) -> ApplyState:
    """Return the next state after the store has answered a read."""
    state = replace(state, current=current)
    proposal = state.proposal
    if proposal is not None and current is not None and _contains(current, state.change_id):
        return replace(state, phase=ApplyPhase.ACCEPTED)
    if proposal is not None and revision == state.expected:
        # The write may still be in flight. Its outcome is known only once it has been repeated or
        # another change has been written.
        return replace(state, phase=ApplyPhase.WRITING)
    if (current.version if current is not None else NO_VERSION) != state.base:
        return replace(state, phase=ApplyPhase.REFUSED)
    return replace(
        state,
        phase=ApplyPhase.WRITING,
        proposal=_proposal(state, current),
        expected=revision,
    )


def apply_written(state: ApplyState, outcome: WriteOutcome) -> ApplyState:
    """Return the next state after the write; unless it was won, a read must show its outcome."""
    phase = ApplyPhase.ACCEPTED if outcome is WriteOutcome.WON else ApplyPhase.READING
    return replace(state, phase=phase)


def _proposal(state: ApplyState, current: ConfigurationOffer | None) -> ConfigurationOffer:
    history = (current.change_id, *current.history) if current is not None else ()
    return ConfigurationOffer(
        version=ConfigurationVersion(max(state.base, state.highest_seen) + 1),
        change_id=state.change_id,
        value=state.value,
        history=history[:_MAX_HISTORY],
    )


def _contains(current: ConfigurationOffer, change_id: ChangeId) -> bool:
    """Return whether a change was accepted, even if later changes have replaced it since."""
    return change_id == current.change_id or change_id in current.history


class _StoredConfiguration(msgspec.Struct, array_like=True):
    version: int
    change_id: str
    value: bytes
    history: list[str]


def encode_configuration(offer: ConfigurationOffer) -> bytes:
    """Encode an offer in the stored form."""
    encoded: bytes = msgpack.packb(
        [offer.version, offer.change_id, offer.value, list(offer.history)]
    )
    return encoded


def decode_configuration(value: bytes) -> ConfigurationOffer:
    """Decode the stored form. Raises SettingsError if the value is malformed."""
    try:
        stored = convert(unpack_msgpack(value), _StoredConfiguration)
    except InvalidDataError as error:
        raise SettingsError(f"the stored configuration is unreadable: {error}") from error
    return ConfigurationOffer(
        ConfigurationVersion(stored.version),
        ChangeId(stored.change_id),
        stored.value,
        tuple(ChangeId(change_id) for change_id in stored.history),
    )
