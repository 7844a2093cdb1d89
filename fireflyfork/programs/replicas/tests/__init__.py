"""Tests of fireflyfork.programs.replicas, and the builders that they share."""
