"""Tests of fireflyfork.programs.containment."""
