"""Tests of the configuration register and of operators' changes."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from ..._errors import SettingsError
from ..._ids import ChangeId, ConfigurationVersion, MemberId, Revision
from .._configuration_register import (
    ApplyPhase,
    ApplyState,
    ConfigurationOffer,
    OfferOutcome,
    OfferSource,
    RegisterState,
    apply_read,
    apply_written,
    begin_register,
    decode_configuration,
    encode_configuration,
    merge_offer,
    record_empty_store,
    record_peer_finished,
)
from .._membership_events import WriteOutcome

PEER = MemberId("peer")


def _offer(version: int, change: str = "") -> ConfigurationOffer:
    change_id = ChangeId(change or f"change-{version}")
    return ConfigurationOffer(ConfigurationVersion(version), change_id, b"{}")


def _apply(name: str, base: int) -> ApplyState:
    return ApplyState(ConfigurationVersion(base), ChangeId(name), name.encode())


class RegisterTest(unittest.TestCase):
    """Which offers an entry adopts, and when it is ready."""

    def test_offers(self) -> None:
        """A slow peer offers an older version, which must not replace the held one."""
        cases = [
            (None, _offer(3), OfferSource.PEER, OfferOutcome.TAKEN, "change-3"),
            (_offer(3), _offer(4), OfferSource.PEER, OfferOutcome.TAKEN, "change-4"),
            (_offer(3), _offer(3), OfferSource.PEER, OfferOutcome.KNOWN, "change-3"),
            (_offer(3), _offer(2), OfferSource.PEER, OfferOutcome.OLDER, "change-3"),
            (_offer(3), _offer(2), OfferSource.STORE, OfferOutcome.OLDER, "change-3"),
            (_offer(3), _offer(3, "x"), OfferSource.PEER, OfferOutcome.CONFLICT, "change-3"),
            (_offer(3), _offer(3, "x"), OfferSource.STORE, OfferOutcome.CONFLICT, "x"),
        ]
        for held, offer, source, outcome, change in cases:
            with self.subTest(held=held, offer=offer, source=source):
                state, actual = merge_offer(RegisterState(held), offer, source)
                self.assertIs(actual, outcome)
                assert state.held is not None
                self.assertEqual(state.held.change_id, change)

    def test_restarted_entry_waits_for_all_peers(self) -> None:
        """The store is down, and the first peer to answer offers an outdated version.

        An entry that became ready with it would serve a configuration that had been replaced.
        """
        state = begin_register((PEER, MemberId("slow")))
        state, _ = merge_offer(state, _offer(4), OfferSource.PEER)
        state = record_peer_finished(state, PEER)
        self.assertFalse(state.ready)
        state, _ = merge_offer(state, _offer(5), OfferSource.PEER)
        self.assertTrue(record_peer_finished(state, MemberId("slow")).ready)

    def test_store_answer_is_enough(self) -> None:
        """Unreachable peers must not delay the start of an entry while the store answers."""
        state, _ = merge_offer(begin_register((PEER,)), _offer(5), OfferSource.STORE)
        self.assertTrue(state.ready)
        self.assertFalse(record_empty_store(begin_register((PEER,))).ready)

    def test_unreadable_value(self) -> None:
        """A malformed value raises SettingsError."""
        offer = replace(_offer(2), history=(ChangeId("change-1"),))
        self.assertEqual(decode_configuration(encode_configuration(offer)), offer)
        for value in (b"", b"\xc1", encode_configuration(offer)[:-2]):
            with self.subTest(value=value), self.assertRaises(SettingsError):
                decode_configuration(value)


class ApplyTest(unittest.TestCase):
    """The protocol for an operator's change."""

    def test_second_operator_is_refused(self) -> None:
        """Two operators edit version 3; the second must not overwrite the first's change."""
        second = apply_read(_apply("second", 3), _offer(3), Revision(7))
        second = apply_written(second, WriteOutcome.LOST)
        second = apply_read(second, replace(_offer(4, "first")), Revision(8))
        self.assertIs(second.phase, ApplyPhase.REFUSED)
        assert second.current is not None
        self.assertEqual(second.current.change_id, "first")

    def test_accepted_and_then_replaced(self) -> None:
        """The answer to a write is lost, and another change follows before the tool reads it back.

        If the tool compared only the latest change id, it would report a change that was in force
        as refused, and the operator would apply it again over the later change.
        """
        state = apply_read(_apply("mine", 3), _offer(3), Revision(7))
        state = apply_written(state, WriteOutcome.UNKNOWN)
        assert state.proposal is not None
        later = apply_read(_apply("later", 4), state.proposal, Revision(8)).proposal
        self.assertIs(apply_read(state, later, Revision(9)).phase, ApplyPhase.ACCEPTED)

    def test_old_value_does_not_settle_a_write(self) -> None:
        """The old value doesn't prove a failure, since the write may still be in flight."""
        state = apply_read(_apply("mine", 3), _offer(3), Revision(7))
        state = apply_written(state, WriteOutcome.UNKNOWN)
        again = apply_read(state, _offer(3), Revision(7))
        self.assertIs(again.phase, ApplyPhase.WRITING)
        self.assertEqual(again.proposal, state.proposal)

    def test_store_that_was_rolled_back(self) -> None:
        """The store was restored from a backup, so its next version number is already in use.

        Entries that hold a higher version would ignore the change forever.
        """
        state = replace(_apply("mine", 3), highest_seen=ConfigurationVersion(9))
        proposal = apply_read(state, _offer(3), Revision(2)).proposal
        assert proposal is not None
        self.assertEqual(proposal.version, 10)

    @settings(max_examples=150)
    @given(st.integers(0, 2**32))
    def test_racing_operators(self, seed: int) -> None:
        """Operators race while answers are lost and writes are delayed; verdicts must be correct.

        A change reported as accepted was in force at some time, a change reported as refused never
        is, and no entry goes back to an older version.
        """
        _OperatorRace(random.Random(seed)).run(self)


class _OperatorRace:
    """Three operators, a store, and an entry that receives accepted changes in any order."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.stored: ConfigurationOffer | None = None
        self.revision = Revision(0)
        self.accepted: list[ConfigurationOffer] = []
        self.late: list[tuple[ConfigurationOffer, Revision]] = []

    def run(self, test: unittest.TestCase) -> None:
        tools = [_apply(f"operator-{number}", 0) for number in range(3)]
        entry = begin_register(())
        for _ in range(60):
            number = self.chance.randrange(len(tools))
            tools[number] = self._advance(tools[number])
            if self.late and self.chance.random() < 0.3:
                self._take_effect(*self.late.pop())
            if self.accepted:
                before = entry.version
                entry, _ = merge_offer(entry, self.chance.choice(self.accepted), OfferSource.PEER)
                test.assertGreaterEqual(entry.version, before)
        while self.late:
            self._take_effect(*self.late.pop())
        changes = [offer.change_id for offer in self.accepted]
        versions = [offer.version for offer in self.accepted]
        test.assertEqual(versions, list(range(1, len(versions) + 1)))
        for tool in tools:
            if tool.phase is ApplyPhase.ACCEPTED:
                test.assertIn(tool.change_id, changes)
            elif tool.phase is ApplyPhase.REFUSED:
                test.assertNotIn(tool.change_id, changes)

    def _advance(self, tool: ApplyState) -> ApplyState:
        if tool.phase is ApplyPhase.READING:
            return apply_read(tool, self.stored, self.revision)
        if tool.phase is not ApplyPhase.WRITING or tool.proposal is None:
            if tool.phase is ApplyPhase.REFUSED and self.chance.random() < 0.3:
                return self._retry_on_current(tool)
            return tool
        fate = self.chance.random()
        if fate < 0.25:
            self.late.append((tool.proposal, tool.expected))
            return apply_written(tool, WriteOutcome.UNKNOWN)
        won = self._take_effect(tool.proposal, tool.expected)
        if fate < 0.5:
            return apply_written(tool, WriteOutcome.UNKNOWN)
        return apply_written(tool, WriteOutcome.WON if won else WriteOutcome.LOST)

    def _retry_on_current(self, tool: ApplyState) -> ApplyState:
        base = self.stored.version if self.stored is not None else 0
        return _apply(f"{tool.change_id}+", base)

    def _take_effect(self, offer: ConfigurationOffer, expected: Revision) -> bool:
        if expected != self.revision:
            return False
        self.stored = offer
        self.revision = Revision(self.revision + 1)
        self.accepted.append(offer)
        return True
