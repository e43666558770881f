"""Tools for operators."""
