"""Jobs of a few bytes that would take an owner's memory or time."""

import unittest

import msgspec

from ..._errors import BadRequestError
from ..._ids import JobId
from ...decisions.jobs import StoredFormatError, decode_stored_job, encode_job
from ...decisions.jobs.tests.builders_jobs import job, queue, step
from .. import decode_job

JOB = JobId("5c0e7a21d94b36f8")
STEP = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 10}


class JobLimitsTest(unittest.TestCase):
    """A job that exceeds a limit is refused before it is accepted, and skipped if it is stored."""

    def test_jobs_that_exceed_a_limit_are_refused_with_the_reason(self) -> None:
        """Guards against a small request that uses up the memory of the instance that gets it."""
        for body, word in (
            ({"steps": [{**STEP, "count": 20_000_000}]}, "20000000 tasks"),
            ({"steps": [{**STEP, "count": 2**53 - 1}]}, "tasks"),
            ({"steps": [{**STEP, "count": 2**63}]}, "read"),
            ({"steps": [{**STEP, "count": 4_000}] * 2}, "8000 tasks"),
            ({"steps": [{**STEP, "count": 5_000, "gang": True}]}, "gang"),
            ({"steps": [STEP] * 101}, "101 steps"),
            ({"steps": [STEP], "repetitions": -1}, "repetitions"),
            ({"steps": [STEP], "repetitions": 2**53 - 1}, "repetitions"),
            ({"steps": [STEP], "repetitions": 2, "interval_ms": -1}, "interval"),
            ({"steps": [STEP], "repetitions": 2, "initial_delay_ms": -1}, "first occurrence"),
            ({"steps": [{**STEP, "cpu": 2**40}]}, "size or limit"),
            ({"steps": [{**STEP, "cpu": 2**64}]}, "read"),
            ({"steps": [{**STEP, "estimate_ms": 2**50}]}, "estimate"),
            ({"steps": [{**STEP, "anti_affinity": -1}]}, "negative limit"),
            ({"steps": [{**STEP, "image": "x" * 1_000}]}, "image"),
            ({"steps": [STEP], "spec": "x" * 100_000}, "100000 bytes"),
        ):
            with self.subTest(word), self.assertRaisesRegex(BadRequestError, word):
                decode_job(msgspec.json.encode(body), JOB, queue(), 0)

    def test_a_repeated_number_of_an_earlier_step_counts_once(self) -> None:
        """Guards against a list of dependencies that takes longer to read than the job to run."""
        body = {"steps": [STEP, {**STEP, "after": [0] * 10_000}]}
        spec = decode_job(msgspec.json.encode(body), JOB, queue(), 0)
        self.assertEqual(spec.steps[1].after, (0,))

    def test_a_stored_job_that_exceeds_a_limit_is_not_recovered(self) -> None:
        """Guards against a stored job that ends each owner of its service in turn."""
        self.assertEqual(decode_stored_job(encode_job(job())), job())
        for spec in (
            job(JOB, step(count=20_000_000)),
            job(JOB, step(count=0)),
            job(JOB, step(after=(5,))),
            job(JOB, repetitions=2**40),
            job(JOB, step(cpu_millis=2**62)),
        ):
            with self.subTest(spec=spec), self.assertRaises(StoredFormatError):
                decode_stored_job(encode_job(spec))
