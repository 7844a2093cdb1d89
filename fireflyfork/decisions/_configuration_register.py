"""Which configuration an entry holds, and how an operator's change is accepted.

The store's value is the authority. It changes by compare-and-swap, each version exactly one above
the one that it replaces, so two changes can't both become one version.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum

import msgpack
import msgspec

from .._errors import SettingsError
from .._ids import ChangeId, ConfigurationVersion, MemberId, Revision
from ._membership_events import WriteOutcome

CONFIGURATION_KEY = "configuration"
"""The store key of the configuration."""

_LONGEST_HISTORY = 64
"""Change ids kept with the value. At 2,000 changes a day they cover at least half an hour."""

NO_VERSION = ConfigurationVersion(0)


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """A configuration as it is stored and passed between entries."""

    version: ConfigurationVersion
    change_id: ChangeId
    value: bytes
    """The encoded configuration."""
    history: tuple[ChangeId, ...] = ()
    """The changes that made the versions before this one, the latest first."""


class OfferSource(Enum):
    """Where an offer comes from."""

    STORE = "store"
    PEER = "peer"


class OfferOutcome(Enum):
    """What became of an offer."""

    TAKEN = "taken"
    KNOWN = "known"
    """Already held."""
    OLDER = "older"
    """Below what is held. From the store it means that the store was set back: report it."""
    CONFLICT = "conflict"
    """Another change under the same version: someone wrote without compare-and-swap. Report it."""


@dataclass(frozen=True, slots=True)
class RegisterState:
    """What one entry holds."""

    held: ConfigurationOffer | None = None
    waiting_for: frozenset[MemberId] = frozenset()
    """Peers asked at the start that neither answered nor failed yet."""
    store_answered: bool = False

    @property
    def version(self) -> ConfigurationVersion:
        """The version held; 0 when there is none."""
        return self.held.version if self.held is not None else NO_VERSION

    @property
    def ready(self) -> bool:
        """Whether what is held may be put in force.

        A restarted entry takes no peer's word alone while the store or another peer may know a
        higher version: it would serve an older configuration than before its restart.
        """
        return self.held is not None and (self.store_answered or not self.waiting_for)


def begin_register(peers: Collection[MemberId]) -> RegisterState:
    """The state of an entry that just started and asks the store and these peers."""
    return RegisterState(waiting_for=frozenset(peers))


def consider(
    state: RegisterState, offer: ConfigurationOffer, source: OfferSource
) -> tuple[RegisterState, OfferOutcome]:
    """Take an offer if it is higher than what is held.

    On a conflict the store's value wins, so that all entries end up with the same one; between
    peers what is held stays.
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


def store_is_empty(state: RegisterState) -> RegisterState:
    """The store answered that there is no configuration yet."""
    return replace(state, store_answered=True)


def peer_done(state: RegisterState, peer: MemberId) -> RegisterState:
    """A peer that was asked at the start answered, or can't be reached."""
    return replace(state, waiting_for=state.waiting_for - {peer})


# An operator's change


class ApplyPhase(Enum):
    """How far an operator's change is."""

    READING = "reading"
    """Read the store, then call ``apply_read``."""
    WRITING = "writing"
    """Write ``proposal`` at ``expected``, then call ``apply_written``."""
    ACCEPTED = "accepted"
    """It became ``proposal.version``. Hand it to an entry too: the store may fail before it tells."""
    REFUSED = "refused"
    """Another change came first, and nothing was overwritten; ``current`` is what to compare."""


@dataclass(frozen=True, slots=True)
class ApplyState:
    """One change of the configuration by one operator."""

    base: ConfigurationVersion
    """The version that the operator changed; 0 for the first."""
    change_id: ChangeId
    value: bytes
    highest_seen: ConfigurationVersion = NO_VERSION
    """The highest version that any entry reports. Above the store's when that was set back."""
    phase: ApplyPhase = ApplyPhase.READING
    current: ConfigurationOffer | None = None
    proposal: ConfigurationOffer | None = None
    expected: Revision = field(default=Revision(0))


def apply_read(
    state: ApplyState, current: ConfigurationOffer | None, revision: Revision
) -> ApplyState:
    """The store answered a read."""
    state = replace(state, current=current)
    proposal = state.proposal
    if proposal is not None and current is not None and _contains(current, state.change_id):
        return replace(state, phase=ApplyPhase.ACCEPTED)
    if proposal is not None and revision == state.expected:
        # The write may still be on its way. Only repeating it, or another change, settles it.
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
    """The store answered the write, or did not. Unless it was won, only a read tells."""
    phase = ApplyPhase.ACCEPTED if outcome is WriteOutcome.WON else ApplyPhase.READING
    return replace(state, phase=phase)


def _proposal(state: ApplyState, current: ConfigurationOffer | None) -> ConfigurationOffer:
    history = (current.change_id, *current.history) if current is not None else ()
    return ConfigurationOffer(
        version=ConfigurationVersion(max(state.base, state.highest_seen) + 1),
        change_id=state.change_id,
        value=state.value,
        history=history[:_LONGEST_HISTORY],
    )


def _contains(current: ConfigurationOffer, change_id: ChangeId) -> bool:
    """Whether a change was accepted, also when others followed before its author could look."""
    return change_id == current.change_id or change_id in current.history


# The stored form


class _StoredConfiguration(msgspec.Struct, array_like=True):
    version: int
    change_id: str
    value: bytes
    history: list[str]


def encode_configuration(offer: ConfigurationOffer) -> bytes:
    """The stored form."""
    encoded: bytes = msgpack.packb(
        [offer.version, offer.change_id, offer.value, list(offer.history)]
    )
    return encoded


def decode_configuration(value: bytes) -> ConfigurationOffer:
    """Read the stored form. Raises SettingsError when it is none."""
    try:
        stored = msgspec.convert(msgpack.unpackb(value), _StoredConfiguration)
    except (ValueError, msgspec.ValidationError, msgpack.UnpackException) as error:
        raise SettingsError(f"the stored configuration is unreadable: {error}") from error
    return ConfigurationOffer(
        ConfigurationVersion(stored.version),
        ChangeId(stored.change_id),
        stored.value,
        tuple(ChangeId(change_id) for change_id in stored.history),
    )
