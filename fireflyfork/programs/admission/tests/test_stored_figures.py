"""An owner stores its figures with its other writes while tasks wait for room."""

import unittest

import trio
from trio.testing import MockClock

from ...._ids import LeaseId, Revision
from ....adapters import Put
from ....decisions.jobs.admission import WorkFigures, decode_figures
from ....decisions.jobs.admission.tests.builders_admission import LARGE, PressedService, large_job
from ....decisions.jobs.tests.builders_jobs import SERVICE, START_MS, job, step
from ..._scheduling_keys import owner_key, work_ahead_key
from ...owner._service_journal import ServiceJournal
from ...owner._service_lease import Term
from ...owner.tests.builders_journal import FaultyStore


class StoredFiguresTest(unittest.TestCase):
    """Figures cost no call of their own, and none are stored for a service that has room."""

    def _flush(self, service: PressedService, store: FaultyStore) -> WorkFigures | None:
        """Store pending changes as a new owner and return the figures that the store then holds."""
        revision = store.backing.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        term = Term(SERVICE, 7, LeaseId(0), Revision(revision))

        async def body() -> None:
            journal = ServiceJournal(store, term, service.scheduler, lambda _: None)
            await journal.open()
            self.assertTrue(await journal.flush())

        trio.run(body, clock=MockClock(rate=1.0))
        item = store.backing.get(work_ahead_key(SERVICE))
        return decode_figures(item.value) if item is not None else None

    def test_figures_are_stored_only_while_tasks_wait(self) -> None:
        """Guards against bytes between failure domains for a service that nobody waits for."""
        service, store = PressedService(admits_all=True), FaultyStore()
        service.wait(1.0)
        service.scheduler.accept(large_job(1), START_MS)
        self.assertIsNone(self._flush(service, store))
        for number in range(2, 30):
            service.scheduler.accept(large_job(number, service.now_ms), service.now_ms)
        service.wait(1.0)
        figures = self._flush(service, store)
        assert figures is not None
        self.assertEqual(figures.term, 7)
        self.assertTrue(figures.is_pressed)
        self.assertGreater(figures.waiting_work, 25 * 40e6)

    def test_work_on_cores_that_others_leave_idle_does_not_count(self) -> None:
        """Guards against refusals for work that takes no room from anything."""
        service = PressedService(admits_all=True)
        idle = step(count=500, estimate_ms=9000, uses_leftover_cpu=True)
        service.scheduler.accept(job("f" * 16, idle, queue=LARGE.name), START_MS)
        for number in range(20):
            service.scheduler.accept(large_job(number), START_MS)
        service.wait(1.0)
        figures = service.scheduler.work_figures
        assert figures is not None
        self.assertTrue(figures.is_pressed)
        self.assertLessEqual(sum(row.work for row in figures.rows), 20 * 40e6)

    def test_the_rate_follows_what_runs_achieve(self) -> None:
        """Guards against promises from callers' estimates: tasks take half as long again."""
        service = PressedService(admits_all=True, slowness=1.5)
        for number in range(60):
            service.scheduler.accept(large_job(number), START_MS)
        service.wait(20.0)
        figures = service.scheduler.work_figures
        assert figures is not None
        self.assertLess(figures.rate, 0.75 * 64_000)
        self.assertGreater(figures.rate, 0.6 * 64_000)
