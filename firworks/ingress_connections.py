"""HTTP connections of callers, whose bytes are counted, limited and read on demand."""

from collections import deque

from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.ingress_refusals import (
    READ_BUFFER_BYTES,
    RefusingConnection,
    explain_error,
)
from firworks.kernel.ingress.budget import STALL_S
from firworks.kernel.ingress.limits import ASSURED_BYTES
from firworks.kernel.ingress.progress import BodyProgress, WriteProgress

# Most bytes of one read. With these, no step of the event loop took over 0.8 ms of a
# core with chunks of one byte or empty header fields; small VMs have a third of one.
HEAD_READ_BYTES = 8_192
BODY_READ_BYTES = 32_768
SMALL_CHUNKS_READ_BYTES = 4_096
# What a header field occupies once it is parsed, beside its characters. The fields of
# a head that is not complete and follows another one in the same read are not counted,
# so that the limit on the number of fields also limits the memory.
FIELD_BYTES = 400
# Bytes of a chunked body that are no data, beyond as many as there are data.
MAX_FRAMING_BYTES = 131_072


class IngressConnection(RefusingConnection):
    """One HTTP connection of a caller.

    Args:
        server (IngressServer): The listener that it belongs to.
        **options: Of aiohttp's `RequestHandler`.

    Attributes:
        used (bool): It has sent an admitted request.
        idle_since_s (float): When its last request ended; monotonic seconds.
    """

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.used = False
        self.idle_since_s = 0.0
        self._ingress = server.ingress
        self._socket = None
        # Bytes held, and the part of them that belongs to a head that is not complete.
        self._held = self._head_cost = 0
        # Bytes of that head as received, and when it began.
        self._head_bytes, self._head_since_s = 0, None
        # Bytes of the heads of requests that were parsed and have not ended.
        self._costs = deque()
        self._payload = EMPTY_PAYLOAD
        self._body_bytes = self._decompressed = 0
        # Bytes of the body of the current request that are held once more.
        self._copied = 0
        self._progress = None
        self._running = False
        self._unparsed = b""
        self._writing = WriteProgress()

    @property
    def busy(self):
        """Whether a request is received, in progress, or being answered."""
        if self._lingering is not None:
            return False
        in_progress = self._current_request is not None or bool(self._messages)
        return in_progress or self._in_body

    @property
    def _in_body(self):
        return not self._payload.is_eof()

    def connection_made(self, transport):
        """Limit the bytes of one read and count the connection."""
        super().connection_made(transport)
        self._socket = transport
        transport.max_size = HEAD_READ_BYTES
        self.idle_since_s = self._loop.time()
        self._ingress.budget.add(self, self.idle_since_s)
        self._listener.admit(self, self.idle_since_s)

    def connection_lost(self, exc):
        """Return what the connection held to the budget."""
        self._refused = True
        self._unparsed = b""
        self._listener.forget(self)
        self._ingress.budget.remove(self)
        super().connection_lost(exc)
        self._ingress.release()

    def abort(self):
        """Close the connection at once."""
        self._refused = True
        self._socket.abort()

    def data_received(self, data):
        """Parse received bytes, or what the parser has kept if there are none.

        Bytes of heads are kept as they are while the budget has no room, since fields
        take many times more memory once they are parsed.
        """
        if self._refused:
            self._discard(len(data))
            return
        if not data:
            self._parse(data)
            return
        now, size = self._loop.time(), len(data)
        if self._in_body:
            self._held += size
            self._body_bytes += size
            self._count_decompressed()
        else:
            cost = size + FIELD_BYTES * data.count(b"\n")
            self._held += cost
            self._head_cost += cost
            self._head_bytes += size
            # Some callers send an empty line after a body.
            if self._head_since_s is None and not data.isspace():
                self._head_since_s = now
        if self._ingress.budget.resize(self, self._held, now):
            self._parse(data)
        else:
            self._hold_back()
            if self._in_body:
                self._parse(data)
            else:
                self._unparsed += data

    def _count_decompressed(self):
        """Count what a body has over its bytes as received, if it is compressed."""
        extra = self._payload.total_bytes - self._decompressed - self._body_bytes
        if extra > 0:
            self._held += extra
            self._decompressed += extra

    def _parse(self, data):
        count = len(self._messages)
        super().data_received(data)
        if len(self._messages) > count:
            self._note_requests(count)
        if self._in_body:
            self._check_framing()
        elif self._head_bytes > self._listener.limits.header_bytes + HEAD_READ_BYTES:
            detail = f"over {self._listener.limits.header_bytes} header bytes"
            self.refuse(Code.HEADERS_TOO_LARGE, detail, "head")

    def _note_requests(self, start):
        """Count the requests that the parser has added to the queue from an index."""
        messages, limit = self._messages, self._listener.limits.header_bytes
        if isinstance(messages[-1][0], _ErrInfo):
            code, detail, reason = explain_error(messages.pop()[0].exc)
            if self._in_body:
                detail = "the body does not match its headers"
            self.refuse(code, detail, reason)
            return
        checked = self._head_bytes > limit
        text_bytes, held = self._head_bytes, 0
        for index in range(start, len(messages)):
            message, payload = messages[index]
            text_bytes = max(0, text_bytes - payload.total_bytes)
            cost = text_bytes + FIELD_BYTES * (len(message.raw_headers) + 1)
            held += cost + payload.total_bytes
            text_bytes = 0
            if checked and _measure_head(message) > limit:
                error = RequestError(Code.HEADERS_TOO_LARGE, f"over {limit} bytes")
                messages[index] = (_ErrInfo(431, error, error.detail), payload)
                self._listener.record(self, "head")
            self._costs.append(cost)
            self._payload = payload
        self._held += held - self._head_cost
        if self._head_cost > ASSURED_BYTES:
            self._ingress.budget.resize(self, self._held, self._loop.time())
        self._head_cost = self._head_bytes = self._body_bytes = 0
        self._decompressed = self._payload.total_bytes
        self._head_since_s = None
        if not self._in_body:
            self._socket.max_size = HEAD_READ_BYTES

    def _check_framing(self):
        """Limit the bytes beside the data of a body, and choose the size of a read."""
        data_bytes = self._payload.total_bytes
        framing = self._body_bytes - data_bytes
        if framing > MAX_FRAMING_BYTES + data_bytes:
            self.refuse(Code.BODY_TOO_LARGE, "chunks are too small", "framing")
        elif 8 * framing > data_bytes + READ_BUFFER_BYTES:
            self._socket.max_size = SMALL_CHUNKS_READ_BYTES
        else:
            room = self._ingress.budget.has_room
            self._socket.max_size = BODY_READ_BYTES if room else HEAD_READ_BYTES

    def refuse(self, code, detail, reason):
        """Answer a request that has not run with an error, and read no more.

        Args:
            code (Code): The result code.
            detail (str): Description for the caller.
            reason (str): For the counter and the log.
        """
        if self._refused:
            return
        self._listener.record(self, reason)
        self._refused = True
        self._hold_back()
        error = RequestError(code, detail)
        if self._in_body:
            self._payload.set_exception(error)
            return
        error_info = _ErrInfo(code.http_status, error, detail)
        self._messages.append((error_info, EMPTY_PAYLOAD))
        self._costs.append(0)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def end_for_memory(self):
        """Give up what the connection holds, as memory is short."""
        unfinished = self._in_body or self._head_since_s is not None
        if unfinished and not self._running and not self._refused:
            self.refuse(Code.OVERLOADED, "no memory for the request", "memory")
        else:
            self._listener.record(self, "memory")
            self.abort()

    def resume(self):
        """Go on reading, as the budget has room again."""
        if self._refused:
            return
        self._held_back = False
        data, self._unparsed = self._unparsed, b""
        if data:
            self._parse(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def mark_admitted(self):
        """Note that the current request is an ordinary one."""
        self.used = True
        self._listener.unused.pop(self, None)

    def mark_running(self, body_bytes):
        """Note that the current request runs, so that it is not refused any more.

        Its body is held once more while it is written to a target.
        """
        self._running, self._copied = True, body_bytes
        self._held += body_bytes
        budget = self._ingress.budget
        budget.protect(self, True)
        if body_bytes:
            budget.resize(self, self._held, self._loop.time())

    def end_request(self, http):
        """Note that a request (BaseRequest) has ended."""
        now = self.idle_since_s = self._loop.time()
        cost = self._costs.popleft() if self._costs else 0
        if self._messages:
            self._held -= cost + self._copied + http.content.total_bytes
            self._held = max(self._held, self._head_cost)
        else:
            self._held = self._head_cost
        self._copied = 0
        if self._running:
            self._running = False
            self._ingress.budget.protect(self, False)
        granted = self._ingress.budget.resize(self, self._held, now)
        if granted and self._held_back and not self._refused:
            self.resume()
        self._ingress.release()

    def check(self, now):
        """End what is too slow; called regularly with the time in monotonic seconds."""
        self._check_writing(now)
        if self._refused:
            return
        paused = self._held_back or self._reading_paused or self._buffer_paused
        if self._in_body:
            self._check_body(now, paused)
            return
        self._progress = None
        if self._head_since_s is None:
            self._check_first_byte(now)
            return
        if paused:
            self._head_since_s = now
        elif now - self._head_since_s > self._listener.limits.header_timeout_s:
            detail = "head not received in time"
            self.refuse(Code.REQUEST_TIMEOUT, detail, "head time")

    def _check_first_byte(self, now):
        allowed_s = self._listener.first_byte_s
        if allowed_s is None or self._request_count:
            return
        if now - self.idle_since_s > allowed_s:
            self._listener.record(self, "head time")
            self.abort()

    def _check_body(self, now, paused):
        received, limits = self._payload.total_bytes, self._ingress.limits
        if self._progress is None or self._progress[0] is not self._payload:
            rate = limits.min_body_bytes_per_s
            progress = BodyProgress(limits.body_grace_s, rate, now, received)
            self._progress = (self._payload, progress)
        elif not self._progress[1].update(received, now, paused):
            detail = "body not received in time"
            self.refuse(Code.REQUEST_TIMEOUT, detail, "body rate")

    def _check_writing(self, now):
        """Count what the caller has not read, and end it if it reads nothing."""
        size, known = self._socket.get_write_buffer_size(), self._writing.unread
        if not size and not known:
            return
        stalled_s = self._writing.update(size, now)
        budget = self._ingress.budget
        if stalled_s > self._ingress.limits.write_stall_s:
            self._listener.record(self, "response not read")
            self.abort()
        elif size != known:
            budget.resize(self, self._held + size, now)
            budget.protect(self, self._running)
        elif stalled_s >= STALL_S:
            budget.protect(self, False)


def _measure_head(message):
    """Return the bytes (int) of the fields of a request (RawRequestMessage)."""
    return sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
