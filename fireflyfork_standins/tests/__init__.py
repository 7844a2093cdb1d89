"""Tests of the stand-ins and of the scheduler on the simulated platform."""
