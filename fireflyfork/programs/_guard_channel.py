"""What members say to each other about membership and configuration, and how they send it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import ConfigurationVersion, MemberId, Revision
from ..decisions import ConfigurationOffer, GuardAnswer, Member


@dataclass(frozen=True, slots=True)
class GuardQuestion:
    """A member asks its guard, and says what it knows of."""

    asker: MemberId
    nonce: int
    """Comes back in the reply, so that a late reply is not taken for that to a later question."""
    revision: Revision
    """Of the asker's fleet record."""
    configuration_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class GuardReply:
    """The guard's reply."""

    nonce: int
    answer: GuardAnswer
    revision: Revision
    configuration_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class FleetOffer:
    """A fleet record passed on."""

    record: bytes
    """As stored."""
    revision: Revision


class GuardChannel(ABC):
    """Sends to a peer. All raise PeerError when it can't be reached; each gives up in time itself."""

    @abstractmethod
    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """Ask a guard."""

    @abstractmethod
    async def offer_fleet(self, peer: Member, offer: FleetOffer) -> None:
        """Pass the fleet record on."""

    @abstractmethod
    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """Pass the configuration on."""
