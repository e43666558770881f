"""Deferred requests: accepted now, run later, results looked up by id."""
