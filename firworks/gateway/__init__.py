"""Forwards callers' requests to targets, through stages and pools."""
