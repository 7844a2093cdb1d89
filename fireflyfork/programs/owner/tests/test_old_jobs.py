"""Jobs whose keys are removed some time after they are over."""

import unittest

import trio
from trio.testing import MockClock

from ...._errors import JobGoneError
from ....decisions.jobs import JobState
from ..._scheduling_keys import job_key, progress_key, tombstone_key
from .._service_owner import CLEANUP_SECONDS, RETENTION_MARGIN_SECONDS
from .builders_owner import BOUNDS
from .builders_services import Services
from .test_job_transfers import SHORT

RETENTION_SECONDS = BOUNDS.status_retention + RETENTION_MARGIN_SECONDS


class OldJobsTest(unittest.TestCase):
    """A late repeat of a request, whose job ended long ago."""

    def test_a_repeat_after_the_removal_of_its_job_is_refused(self) -> None:
        """Guards against a second run of a completed job."""

        async def main() -> None:
            services = Services()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(services.run)
                await trio.sleep(2.0)
                names = [services.submit(SHORT) for _ in range(20)]
                await trio.sleep(10.0)
                for name in names:
                    self.assertIs(await services.requests.state(name), JobState.COMPLETED)
                await trio.sleep(RETENTION_SECONDS + 2 * CLEANUP_SECONDS)
                for name in names:
                    for key in (job_key(name), progress_key(name)):
                        self.assertIsNone(services.store.get(key))
                    self.assertIsNotNone(services.store.get(tombstone_key(name)))
                    with self.assertRaises(JobGoneError):
                        await services.requests.submit(services.jobs[name])
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))
