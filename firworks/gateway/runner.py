"""Entry point of the gateway process: settings, log, signals and the event loop."""

import asyncio
import gc
import signal
import sys
import time

from firworks.errors import FirworksError
from firworks.events import configure_logs
from firworks.gateway.process import Gateway
from firworks.gateway.settings import find_settings_path, load_gateway_settings
from firworks.gateway.settings_file import read_mtime_ns
from firworks.log_output import BoundedOutput


async def run_gateway(settings, output=None, path=None, mtime_ns=None):
    """Run a gateway until SIGTERM or SIGINT, then drain it.

    Args:
        settings (GatewaySettings): Settings of the process.
        output (BoundedOutput or None): The log output, whose dropped lines are counted.
        path (str or None): The settings file, read again when it changes.
        mtime_ns (int or None): The file's mtime from before it was read.
    """
    gateway = Gateway(settings, output, path, mtime_ns)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    # Objects that exist by now live as long as the process.
    gc.freeze()
    gc.enable()
    await stopping.wait()
    await gateway.drain()


def main():
    """Entry point of ``python -m firworks.gateway [SETTINGS.toml]``."""
    try:
        path = find_settings_path(sys.argv[1:])
        mtime_ns = read_mtime_ns(path)
        settings = load_gateway_settings(path)
    except FirworksError as error:
        print(f"firworks: {error}", file=sys.stderr)
        sys.exit(2)
    output = BoundedOutput(sys.stdout.fileno(), time.monotonic)
    configure_logs(settings.log_format, output)
    asyncio.run(run_gateway(settings, output, path, mtime_ns))
