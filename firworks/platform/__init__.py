"""Codecs for the formats of the users' platform, and the client of its store.

This package contains no decision logic. It maps the platform's terms to those of the
project: machine to VM, zone to failure domain, tenant to client account, server and
back end to target.
"""
