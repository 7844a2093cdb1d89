"""Tests of decisions on ownership."""
