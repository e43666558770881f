"""Writes log lines without blocking the loop, and bounds their volume."""

import asyncio
import os
from collections import deque

# Lines of one second; what goes beyond is left out and counted.
LINES_PER_S = 200
# Bytes that wait for a slow reader of the output.
BUFFER_BYTES = 262_144


class BoundedOutput:
    """A sink of log lines for a file descriptor.

    Lines are written at once while the descriptor takes them, and wait in a bounded
    buffer otherwise. Each line that is left out is counted; the count is written
    once there is room again.

    Args:
        descriptor (int): Set to non-blocking mode.
        clock (callable): Returns monotonic seconds.

    Attributes:
        dropped (int): Lines left out since the start.
    """

    def __init__(self, descriptor, clock):
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._waiting = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines = 0
        self._reported = 0
        self._watching = False
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Take one line (str)."""
        if not self._within_rate():
            self.dropped += 1
            return
        if self.dropped > self._reported:
            missing = self.dropped - self._reported
            self._reported = self.dropped
            self._add(f'{{"event_name": "LOG_LINES_DROPPED", "lines": {missing}}}\n')
        self._add(text)
        self._flush()

    def _within_rate(self):
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= LINES_PER_S

    def _add(self, text):
        data = text.encode("utf-8", "replace")
        if self._waiting_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _flush(self):
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any longer.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(data):
                self._waiting.popleft()
            else:
                self._waiting[0] = data[written:]
        self._unwatch()

    def _watch(self):
        if not self._watching:
            self._watching = True
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._flush)

    def _unwatch(self):
        if self._watching:
            self._watching = False
            asyncio.get_running_loop().remove_writer(self._descriptor)
