"""Adapters that perform the I/O; each module registers itself."""
