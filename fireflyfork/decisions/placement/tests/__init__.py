"""Tests of the placement policy."""
