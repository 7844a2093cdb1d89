"""Measurements of the decisions and programs, one command per module; none of them is a test."""
