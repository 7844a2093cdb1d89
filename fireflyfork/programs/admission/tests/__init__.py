"""Tests of fireflyfork.programs.admission, and the builders that they share."""
