"""Tests, one class per subject."""
