"""Tests of the verdict on a request after several attempts."""

import unittest

from .. import Verdict


class VerdictTest(unittest.TestCase):
    """Combined verdicts, and verdicts that permit a retry."""

    def test_after(self) -> None:
        """Guards against the verdict "not run" when an earlier attempt may have run.

        The connection of the first attempt breaks after the request was sent, and the second
        attempt is refused. A user who receives "not run" would book again and be invoiced twice.
        """
        cases = [
            (Verdict.NOT_RUN, Verdict.NOT_RUN, Verdict.NOT_RUN),
            (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
            (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
            (Verdict.MAY_HAVE_RUN, Verdict.ANSWERED, Verdict.ANSWERED),
        ]
        for earlier, later, expected in cases:
            with self.subTest(earlier=earlier, later=later):
                self.assertIs(later.after(earlier), expected)

    def test_only_not_run_permits_a_second_run(self) -> None:
        """Guards against a second booking by a retry after any other verdict."""
        permitted = [verdict for verdict in Verdict if verdict.permits_retry_of_non_idempotent]
        self.assertEqual(permitted, [Verdict.NOT_RUN])
