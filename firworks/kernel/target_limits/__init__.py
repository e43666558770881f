"""Limits of requests per second that targets name for all daemons together."""
