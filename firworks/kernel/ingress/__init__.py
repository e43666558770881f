"""Decisions on the bytes and connections that callers may occupy."""
