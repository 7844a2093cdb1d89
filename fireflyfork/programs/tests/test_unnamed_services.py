"""Services that no configuration names any more, and whose jobs are left."""

import unittest

import trio
from trio.testing import MockClock

from ..._ids import ServiceName
from ...decisions.jobs import encode_job
from ...decisions.jobs.tests.builders_jobs import job
from .._scheduling_keys import job_key, owner_key
from .builders_scheduler_node import START_SECONDS, running_node

GONE = ServiceName("gone")


class UnnamedServiceTest(unittest.TestCase):
    """An instance that started after the service had gone from the configuration."""

    def test_a_job_that_is_left_gets_an_owner(self) -> None:
        """Guards against accepted jobs that nobody runs, counts or cancels."""

        async def main() -> None:
            async with running_node() as node:
                self.assertIsNone(node.store.get(owner_key(GONE)))
                spec = job(service=GONE)
                node.store.put(job_key(spec.job), encode_job(spec))
                await trio.sleep(START_SECONDS)
                self.assertIsNotNone(node.store.get(owner_key(GONE)))

        trio.run(main, clock=MockClock(autojump_threshold=0.01))
