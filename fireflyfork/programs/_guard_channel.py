"""The messages that members exchange about membership and configuration, and their channel."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import ConfigurationVersion, MemberId, Revision
from ..decisions import ConfigurationOffer, GuardAnswer, Member


@dataclass(frozen=True, slots=True)
class GuardQuestion:
    """A member's question to its guard, with the revision and the version that it holds."""

    asker: MemberId
    nonce: int
    """Returned in the reply, so that a late reply is not matched with a later question."""
    revision: Revision
    """The store revision of the asker's fleet record."""
    configuration_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class GuardReply:
    """The guard's reply to a question, with the revision and the version that it holds."""

    nonce: int
    answer: GuardAnswer
    revision: Revision
    configuration_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class FleetOffer:
    """A fleet record that a member sends to another."""

    record: bytes
    """The record, encoded as in the store."""
    revision: Revision


class GuardChannel(ABC):
    """Sends membership and configuration messages to peers.

    All methods raise PeerError if the peer can't be reached, and have timeouts of their own.
    """

    @abstractmethod
    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """Send a question to a guard and return its reply."""

    @abstractmethod
    async def offer_fleet(self, peer: Member, offer: FleetOffer) -> None:
        """Send the fleet record to a peer."""

    @abstractmethod
    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """Send the configuration to a peer."""
