"""Tests of the shared types, the documents and the test plugins."""
