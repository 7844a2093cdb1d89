"""Tests of fireflyfork.decisions.jobs.admission, and the builders that they share."""
