"""Runs a gateway: ``python -m firworks.gateway [SETTINGS.toml]``."""

import gc
import os
import signal

# A SIGHUP that announces new settings may arrive while modules load; it must not end
# the process. The settings are read later, and later changes show in the file's mtime.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Importing modules creates little garbage, so collections would only slow the start.
gc.disable()
# aiohttp loads the system's certificate authorities on import. Only connections to
# peers use TLS, and the settings name their certificate authority.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from firworks.gateway.runner import main  # noqa: E402

main()
