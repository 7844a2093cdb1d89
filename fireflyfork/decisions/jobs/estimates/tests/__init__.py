"""Tests of the estimates of executors and steps."""
