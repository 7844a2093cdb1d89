"""Tests of fireflyfork.adapters."""
