"""Requests that are answered later."""
