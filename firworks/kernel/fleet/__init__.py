"""Membership, cells and dissemination."""
