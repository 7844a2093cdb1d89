"""Tests of fireflyfork.platform."""
