"""Base of the HTTP stand-ins: a listener on loopback and its faults."""

import asyncio

from aiohttp.web import Application, AppRunner, TCPSite

from firworks.kernel.messages import Struct

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.2


class TargetFaults(Struct):
    """Faults injected into a stand-in target.

    Attributes:
        delay_s (float): Delay before each response.
        stall (int): Number of next calls that get no response.
        reset (int): Number of next calls whose connection is reset after the work.
        refuse (int): Number of next calls rejected with 429, without any work.
        mismatch (int): Number of next responses with another call's identity.
        cut_after (int): Streams: number of tokens after which the next one ends.
        gap_at (int): Streams: offset of a token that is left out once.
        repeat (bool): Streams: all events are sent twice.
    """

    __slots__ = (
        "delay_s",
        "stall",
        "reset",
        "refuse",
        "mismatch",
        "cut_after",
        "gap_at",
        "repeat",
    )
    DEFAULTS = {
        "delay_s": 0.0,
        "stall": 0,
        "reset": 0,
        "refuse": 0,
        "mismatch": 0,
        "cut_after": 0,
        "gap_at": 0,
        "repeat": False,
    }

    def take(self, name):
        """Decrement a counted fault; return whether it was above zero."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0

    def take_value(self, name):
        """Return the value of a fault and reset it to zero."""
        value = getattr(self, name)
        setattr(self, name, 0)
        return value


class WebStandin:
    """A small HTTP server on loopback.

    Args:
        port (int): Port to listen on; 0 for any free port.

    Attributes:
        address (str): "127.0.0.1:port", once started.
    """

    def __init__(self, port=0):
        self.address = f"{LOOPBACK}:{port}"
        self._port = port
        self._runner = None

    def make_routes(self):
        """Return the routes (list of aiohttp.web.RouteDef)."""
        raise NotImplementedError

    async def start(self):
        """Open the listener."""
        app = Application()
        app.add_routes(self.make_routes())
        self._runner = AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await TCPSite(self._runner, LOOPBACK, self._port).start()
        self._port = self._runner.addresses[0][1]
        self.address = f"{LOOPBACK}:{self._port}"

    async def stop(self):
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


async def wait_for_ever():
    """Never return; the caller's connection stays open without a response."""
    await asyncio.Event().wait()
