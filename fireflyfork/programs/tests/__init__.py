"""Tests of fireflyfork.programs, and the builders that they share."""
