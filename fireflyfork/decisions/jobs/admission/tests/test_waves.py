"""Large jobs at 2.6 times and urgent ones at 2.1 times what can be done, in waves."""

import unittest
from collections.abc import Iterator

from .builders_admission import Caller, PressedService

LARGE_PER_SECOND = 1.6
"""Uses all cores."""
URGENT_PER_SECOND = 2.0
"""Uses an eighth of the cores."""
SECONDS = 36.0
LATE_WORTH = 0.15


def _waves(large: float, urgent: float) -> Iterator[tuple[float, float]]:
    """Yield the rates of arrivals at each tick: 12 s of a wave, then 6 s at half of what can be done."""
    while True:
        yield from [(large * LARGE_PER_SECOND, urgent * URGENT_PER_SECOND)] * 48
        yield from [(0.5 * LARGE_PER_SECOND, URGENT_PER_SECOND)] * 24


def _play(large: float, urgent: float, admits_all: bool = False) -> PressedService:
    service = PressedService(admits_all)
    service.press(_waves(large, urgent), SECONDS)
    service.wait(20.0)
    return service


def _worth(callers: list[Caller]) -> float:
    """Return the mean worth of jobs that are worth 1 in time and little when late."""
    in_time = sum(caller.is_in_time() for caller in callers)
    of_use = sum(caller.is_of_use() for caller in callers)
    return (in_time + LATE_WORTH * (of_use - in_time)) / len(callers)


class WavesTest(unittest.TestCase):
    """What callers get while more arrives than can be done."""

    def test_no_job_is_refused_while_an_executor_has_room(self) -> None:
        """Guards against refusals by figures that lag behind the executors."""
        service = _play(large=2.6, urgent=2.1)
        self.assertGreater(sum(len(caller.refused_ms) for caller in service.callers), 0)
        self.assertEqual(service.refusals_with_room, 0)

    def test_no_job_is_refused_at_a_load_that_can_be_done(self) -> None:
        service = _play(large=0.7, urgent=1.0)
        self.assertEqual([caller for caller in service.callers if caller.refused_ms], [])

    def test_callers_get_more_than_if_all_were_let_in(self) -> None:
        """Guards against jobs that are all begun and mostly end too late."""
        refusing, open_to_all = _play(2.6, 2.1), _play(2.6, 2.1, admits_all=True)
        for kind in ("large", "urgent"):
            worth = _worth(refusing.of(kind))
            self.assertGreaterEqual(worth, _worth(open_to_all.of(kind)), kind)
        self.assertGreater(_worth(refusing.of("large")), 1.25 * _worth(open_to_all.of("large")))

    def test_jobs_that_are_served_need_few_tries(self) -> None:
        """Guards against callers who are sent away again and again and then let in."""
        served = [caller for caller in _play(2.6, 2.1).callers if caller.is_of_use()]
        self.assertLess(sum(caller.tries for caller in served) / len(served), 1.5)

    def test_urgent_jobs_are_not_refused_for_large_ones(self) -> None:
        """Guards against refusing urgent callers because less urgent work waits."""
        service = _play(large=2.6, urgent=2.1)
        self.assertEqual([caller for caller in service.of("urgent") if caller.refused_ms], [])

    def test_fewer_jobs_that_were_let_in_end_too_late(self) -> None:
        """Guards against work for callers who no longer wait, which others wait behind."""
        refusing, open_to_all = _play(2.6, 2.1), _play(2.6, 2.1, admits_all=True)
        useless = [
            sum(not caller.is_of_use() and caller.tries > len(caller.refused_ms) for caller in each)
            for each in (refusing.callers, open_to_all.callers)
        ]
        self.assertLess(useless[0], 0.6 * useless[1])
