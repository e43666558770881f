"""Formats and calls of the users' platform; it decides nothing.

Their names are decoded here into the project's types: machine is VM, zone is failure
domain, tenant is client account, server or back end is target.
"""
