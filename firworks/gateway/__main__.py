"""Runs a gateway: ``python -m firworks.gateway [SETTINGS.toml]``."""

from firworks.gateway.process import main

main()
