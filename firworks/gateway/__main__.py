"""Runs a gateway: ``python -m firworks.gateway [SETTINGS.toml]``."""

import gc
import os
import signal

# The settings may change, and be announced, while the process loads. They are read
# afterwards, and a later change shows in the file's time stamp.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Little of what is built while modules load becomes garbage.
gc.disable()
# aiohttp reads the system's certificate authorities when it is imported. Only peers are
# spoken to by TLS, and their authority is in the settings.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from firworks.gateway.process import main  # noqa: E402

main()
