"""Small stand-ins for the outside systems; loopback only."""
