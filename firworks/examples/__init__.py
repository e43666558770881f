"""Example documents and settings, for the demonstration and the docs."""
