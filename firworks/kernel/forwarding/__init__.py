"""Decisions on forwarded requests: routes, targets, retries and refusals."""
