"""Replicas of the operator's keys: read from the store or from other instances, and followed."""
