"""Tests of the package above."""
