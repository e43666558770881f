"""Stand-ins for targets that a request can crash, with different symptoms.

A request crashes each target that starts to process it if its path, its body or the
input of its stages contains ``DEADLY``, or if its prompt has the part ``DEADLY_PART``.
The target restarts after some time as a new incarnation.
"""

import asyncio

from firworks.sockets import reset_on_close
from firworks.standins.platform_targets import (
    RESET_DELAY_S,
    STAMP,
    PlatformEngine,
    PlatformStage,
    PlatformTarget,
)
from firworks.standins.web import LOOPBACK

DEADLY = b"deadly"
DEADLY_PART = "dead"
# Symptoms of a crash.
CLOSE = "close"  # the listener and all connections close
RESET = "reset"  # all connections are reset, new ones open at once
HEAD = "head"  # the same after the head and a part of the response
SILENT = "silent"  # connections stay open without data
EVENT = "event"  # the stream is aborted after its first event
UNFRAMED = "unframed"  # a response without a length ends there, then as CLOSE
UNFRAMED_EVENT = "unframed event"  # the same with a stream, after its first event
FAIL = "fail"  # as RESET, but every second request gets 500 instead
MANNERS = (CLOSE, RESET, HEAD, SILENT, EVENT, UNFRAMED, UNFRAMED_EVENT, FAIL)


class Crashing:
    """Adds crashes and restarts to a stand-in for a target.

    Attributes:
        manner (str): Symptom of its crashes; one of ``MANNERS``.
        back_s (float): Time from a crash to the restart.
        work_s (float): Duration of other requests.
        prefill_s (float): Time from the arrival of a deadly request to the crash.
        keeps_entry (bool): All incarnations have the same id and start time.
        ended_s (list of float): Times of its crashes, by the loop's clock.
        reached (list of (float, str)): Arrival times of deadly requests, likewise, and
            their ids.
        down (bool): It has crashed and not restarted.
        past (list of (str, list, list)): Id, ``arrivals`` and ``announced`` of its
            previous incarnations.
        on_run (callable): ``on_run(target, before)`` is called after each restart;
            ``before`` is the id (str) of the previous incarnation.
    """

    manner = CLOSE
    back_s = 1.0
    work_s = 0.0
    prefill_s = 0.0
    keeps_entry = False
    born_ms = 1

    def __init__(self, target_id, service, failure_domain="fd-1"):
        super().__init__(target_id, service, failure_domain)
        self.ended_s = []
        self.reached = []
        self.past = []
        self.down = False
        self.on_run = lambda target, before: None
        self._name = target_id
        self._spared = 0
        self._port = 0
        self._silence = None
        self._tasks = set()

    async def start(self, port=0):
        """Open the listener."""
        await super().start(port)
        self._port = self._server.sockets[0].getsockname()[1]

    def make_entry(self, state="ready"):
        """Return its entry in the store (dict)."""
        return {**super().make_entry(state), "born": self.born_ms}

    def make_report(self):
        """Return its report (dict)."""
        return {**super().make_report(), "born": self.born_ms}

    def end(self, back_s=None):
        """Crash now.

        Args:
            back_s (float or None): Time until the restart, if not as usual.
        """
        self.ended_s.append(asyncio.get_running_loop().time())
        self.down = True
        pause_s = self.back_s if back_s is None else back_s
        if self.manner == SILENT:
            self._silence = asyncio.Event()
        else:
            self._break_connections()
            if self.manner in (CLOSE, UNFRAMED, UNFRAMED_EVENT):
                self._server.close()
        if pause_s or self.manner in (CLOSE, SILENT, UNFRAMED, UNFRAMED_EVENT):
            self._spawn(self._return(pause_s))
        else:
            self._begin_run()

    async def serve(self, writer, line, headers, body):
        """Process a request and send its response."""
        await asyncio.sleep(self.work_s)
        await super().serve(writer, line, headers, body)

    async def stop(self):
        """Close the listener and all connections."""
        for task in self._tasks:
            task.cancel()
        await super().stop()

    async def _return(self, pause_s):
        await asyncio.sleep(pause_s)
        if self._silence is not None:
            self._break_connections()
            self._silence.set()
            self._silence = None
        if not self._server.is_serving():
            self._server = await asyncio.start_server(self._serve, LOOPBACK, self._port)
        self._begin_run()

    def _begin_run(self):
        before = self.target_id
        if not self.keeps_entry:
            self.born_ms += 1
            self.target_id = f"{self._name}.{self.born_ms}"
            self.past.append((before, self.arrivals, self.announced))
            self.leaves, self.arrivals, self.announced = False, [], []
        self.down = False
        self.on_run(self, before)

    def _break_connections(self):
        for writer in list(self._writers):
            reset_on_close(writer.transport)
            writer.transport.abort()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, writer, line, headers, body):
        if self._silence is not None:
            await self._silence.wait()
            return
        deadly = is_deadly(line, headers, body)
        if deadly:
            now = asyncio.get_running_loop().time()
            self.reached.append((now, headers.get("x-request-id", "")))
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.target_id) or not deadly:
            await super()._respond(writer, line, headers, body)
            return
        if self.manner == FAIL:
            self._spared += 1
            if self._spared % 2:
                self._answer(writer, headers, 500, b"failed")
                return
        await asyncio.sleep(self.prefill_s)
        if self.down or writer.is_closing():
            return
        await self._begin_response(writer, headers)
        self.end()
        if self._silence is not None:
            await self._silence.wait()

    async def _begin_response(self, writer, headers):
        """Send the part of a response that precedes the crash."""
        if self.manner not in (HEAD, EVENT, UNFRAMED, UNFRAMED_EVENT):
            return
        head = f"X-Request-Id: {headers['x-request-id']}\r\nX-Server-Stamp: {STAMP}\r\n"
        if self.manner == HEAD:
            data = f"HTTP/1.1 200 OK\r\n{head}Content-Length: 99\r\n\r\nbegin"
        elif self.manner == UNFRAMED:
            data = f"HTTP/1.1 200 OK\r\n{head}\r\nbegin"
        else:
            event = f"id: {int(headers.get('last-event-id', 0)) + 1}\ndata: first\n\n"
            head += "Content-Type: text/event-stream\r\n"
            if self.manner == EVENT:
                head += "Transfer-Encoding: chunked\r\n"
                event = f"{len(event):x}\r\n{event}\r\n"
            data = f"HTTP/1.1 200 OK\r\n{head}\r\n{event}"
        writer.write(data.encode())
        await writer.drain()
        # The bytes must leave before the reset, which discards unsent data.
        await asyncio.sleep(RESET_DELAY_S)
        if self.manner in (UNFRAMED, UNFRAMED_EVENT):
            writer.transport.close()
            self._writers.discard(writer)


def is_deadly(line, headers, body):
    """Return whether a request crashes targets."""
    prompt = headers.get("x-prefix-hash", "").split(",")
    parts = [part.partition(":")[0] for part in prompt]
    return DEADLY in line.encode() or DEADLY in body or DEADLY_PART in parts


class CrashingTarget(Crashing, PlatformTarget):
    """Target of a plain service that a request can crash."""


class CrashingEngine(Crashing, PlatformEngine):
    """Engine that a request can crash."""


class CrashingStage(Crashing, PlatformStage):
    """Stage target that a piece can crash."""
