"""Tests of what the owner of a service decides."""
