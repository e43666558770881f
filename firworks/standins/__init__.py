"""Stand-ins for external systems, on loopback only."""
