"""Tests of the scheduling decisions of the owner of a service."""
