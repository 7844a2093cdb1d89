"""Tests of fair shares and reservations."""
