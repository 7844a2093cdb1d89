"""Tests of fireflyfork.programs.owner, and the builders that they share."""
