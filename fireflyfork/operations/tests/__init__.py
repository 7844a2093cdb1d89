"""Tests of fireflyfork.operations."""
