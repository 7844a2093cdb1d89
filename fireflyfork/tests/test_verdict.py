"""The verdict on a request after several attempts."""

import unittest

from .. import Verdict


class VerdictTest(unittest.TestCase):
    """Combining the verdicts of attempts."""

    def test_after(self) -> None:
        """A retry that was refused does not prove that the first attempt did not run.

        The first attempt's connection breaks after the request left; the second is refused. A
        user told "not run" would book again and be invoiced twice.
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
        """Any other verdict could mean a second booking."""
        permitted = [verdict for verdict in Verdict if verdict.permits_retry_of_non_idempotent]
        self.assertEqual(permitted, [Verdict.NOT_RUN])
