"""Limits of client accounts across the fleet."""
