"""The core protocol as small transition systems, checked with z3."""
