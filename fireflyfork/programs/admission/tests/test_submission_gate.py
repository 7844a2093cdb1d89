"""Answers to callers whose jobs can't be served: too much work is accepted, or the store is away."""

import unittest
from dataclasses import replace

import trio

from fireflyfork_standins.scheduling import StandInStore

from ...._errors import OverloadedError, RequestError, StoreRefusedError, StoreUnavailableError
from ....decisions.jobs import AdmissionSettings
from ....decisions.jobs.admission.tests.builders_admission import LARGE, large_job
from ....decisions.jobs.tests.builders_jobs import START_MS
from ..._metrics import Metrics
from ..._scheduling_keys import job_key, work_ahead_key
from ...callers._job_requests import JobRequests
from .. import SubmissionGate, create_gate
from .builders_gate import NODE, PRESSED, SETTINGS, VirtualClock, play, put_figures


def _now_ms() -> int:
    return START_MS + int(trio.current_time() * 1000)


async def _press(store: StandInStore, gate: SubmissionGate, number: int = 1) -> None:
    """Store figures of a pressed service, and let the gate read them."""
    put_figures(store, replace(PRESSED, number=number, as_of_ms=_now_ms()))
    await gate.submit(large_job(900 + number), LARGE)
    await trio.sleep(0.2)


class RefusalTest(unittest.TestCase):
    """A job is refused before anything is written, and only if the store doesn't hold it."""

    def test_a_refused_job_is_not_stored(self) -> None:
        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            await _press(store, gate)
            with self.assertRaises(OverloadedError) as raised:
                await gate.submit(large_job(1, _now_ms()), LARGE)
            self.assertEqual((raised.exception.status, raised.exception.retry_after), (429, 12))
            self.assertIsNone(store.get(job_key(large_job(1).job)))

        play(body)

    def test_a_stored_job_is_answered_as_accepted(self) -> None:
        """Guards against "not accepted" for a job that another instance has accepted."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            await _press(store, gate)
            store.put(job_key(large_job(1).job), b"stored by another instance")
            await gate.submit(large_job(1, _now_ms()), LARGE)

        play(body)

    def test_a_job_whose_write_got_no_answer_is_not_refused(self) -> None:
        """Guards against "not accepted" for a write that the store carries out later."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            store.trouble.lost_share = store.trouble.late_share = 1.0
            with self.assertRaises(StoreUnavailableError):
                await gate.submit(large_job(1, _now_ms()), LARGE)
            store.trouble.lost_share = 0.0
            await _press(store, gate)
            await gate.submit(large_job(1, _now_ms()), LARGE)

        play(body)

    def test_figures_that_are_not_renewed_let_in(self) -> None:
        """Guards against refusals after the owner is gone."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            await _press(store, gate)
            await trio.sleep(SETTINGS.max_figures_age_seconds)
            await gate.submit(large_job(1, _now_ms()), LARGE)

        play(body)

    def test_an_older_version_is_not_taken(self) -> None:
        """Guards against a stale read that brings back figures of an earlier owner."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            put_figures(store, replace(PRESSED, term=2, number=1, rows=(), as_of_ms=_now_ms()))
            await gate.submit(large_job(1, _now_ms()), LARGE)
            await trio.sleep(3.1)
            put_figures(store, replace(PRESSED, term=1, number=90, as_of_ms=_now_ms()))
            await gate.submit(large_job(2, _now_ms()), LARGE)
            await trio.sleep(0.2)
            await gate.submit(large_job(3, _now_ms()), LARGE)

        play(body)

    def test_figures_are_read_at_most_once_a_second(self) -> None:
        """Guards against a call of the store for each job."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            await _press(store, gate)
            before = store.calls
            for number in range(100):
                store.put(job_key(large_job(number).job), b"stored")
                await gate.submit(large_job(number, _now_ms()), LARGE)
                await trio.sleep(0.02)
            reads_of_figures = store.calls - before - 200
            self.assertLessEqual(reads_of_figures, 3)

        play(body)

    def test_nothing_is_created_when_off(self) -> None:
        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            self.assertIsNone(store.get(work_ahead_key(LARGE.service)))
            off = AdmissionSettings()
            client = store.client(NODE)
            submit = JobRequests(client, lambda: None).submit
            args = submit, client, VirtualClock(), Metrics(), lambda: False
            self.assertIsNone(create_gate(off, *args))

        play(body)


class OutageTest(unittest.TestCase):
    """An instance without the store refuses at once and says when to return."""

    def test_retry_after_grows_with_the_outage(self) -> None:
        """Guards against callers who use up their tries within a short outage."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            await trio.sleep(1.0)
            store.trouble.silent.add(NODE)
            waits = []
            for _ in range(5):
                begun = trio.current_time()
                with self.assertRaises(RequestError) as raised:
                    await gate.submit(large_job(1, _now_ms()), LARGE)
                self.assertEqual(raised.exception.status, 503)
                self.assertEqual(trio.current_time(), begun)
                waits.append(raised.exception.retry_after)
                await trio.sleep(1.0)
            self.assertEqual(waits, [1, 1, 2, 2, 2])

        play(body)

    def test_a_job_that_may_be_stored_is_never_said_to_be_refused(self) -> None:
        """Guards against "not accepted" for a job that was stored before the store went away."""

        async def body(store: StandInStore, gate: SubmissionGate) -> None:
            store.trouble.lost_share = 1.0
            with self.assertRaises(StoreUnavailableError):
                await gate.submit(large_job(1), LARGE)
            self.assertIsNotNone(store.get(job_key(large_job(1).job)))
            store.trouble.silent.add(NODE)
            with self.assertRaises(StoreUnavailableError) as raised:
                await gate.submit(large_job(1), LARGE)
            self.assertNotIsInstance(raised.exception, StoreRefusedError)

        play(body)
