"""Tests of the formats of the platform."""
