"""Tests of fireflyfork.programs.callers, and the builders that they share."""
