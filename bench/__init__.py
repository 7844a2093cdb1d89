"""Measurements, one command each. Nothing here is a test."""
