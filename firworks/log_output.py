"""Non-blocking, rate-limited output of log lines."""

import asyncio
import os
from collections import deque

# Lines beyond this rate are dropped and counted.
MAX_LINES_PER_S = 200
# Bytes buffered while the reader of the output is slow.
MAX_BUFFER_BYTES = 262_144


class BoundedOutput:
    """A log sink that writes to a file descriptor.

    Lines are written at once while the descriptor is writable, else held in a bounded
    buffer. Lines beyond the rate or the buffer are dropped; their number is written
    before the next line within the rate, if the buffer has room.

    Args:
        descriptor (int): File descriptor; set to non-blocking mode.
        clock (callable): Returns monotonic seconds.

    Attributes:
        dropped (int): Lines dropped since the start.
    """

    def __init__(self, descriptor, clock):
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = deque()
        self._buffered_bytes = 0
        self._second = 0
        self._lines_this_second = 0
        self._reported_dropped = 0
        self._writer_registered = False
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write, buffer or drop one line (str)."""
        if not self._is_within_rate():
            self.dropped += 1
            return
        if self.dropped > self._reported_dropped:
            missing = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._enqueue(
                f'{{"event_name": "LOG_LINES_DROPPED", "lines": {missing}}}\n'
            )
        self._enqueue(text)
        self._flush()

    def _is_within_rate(self):
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        return self._lines_this_second <= MAX_LINES_PER_S

    def _enqueue(self, text):
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _flush(self):
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._start_writer()
                return
            except OSError:
                # The output is broken, usually because its reader is gone.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]
        self._stop_writer()

    def _start_writer(self):
        if not self._writer_registered:
            self._writer_registered = True
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._flush)

    def _stop_writer(self):
        if self._writer_registered:
            self._writer_registered = False
            asyncio.get_running_loop().remove_writer(self._descriptor)
