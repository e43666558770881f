"""Adapters that perform the I/O; each adapter module registers itself."""
