"""Scheduling of stage calls: admission, target selection, retries and hedges."""
