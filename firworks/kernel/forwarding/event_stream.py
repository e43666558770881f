"""Splits a stream of server-sent events at event boundaries."""

import re

# Far above the usual size: an event holds the text of a few tokens.
MAX_EVENT_BYTES = 262_144

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventTooLongError(ValueError):
    """An event is longer than ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Buffers an event until it is complete.

    Attributes:
        last_id (str or None): Id of the last complete event that had one.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        # Extended in place: an event may arrive in very many pieces.
        self._buffer = bytearray()

    @property
    def has_partial_event(self):
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data):
        """Add bytes; return the events that they complete, as bytes; may be empty.

        Raises:
            EventTooLongError: If an event exceeds ``MAX_EVENT_BYTES``.
        """
        # A boundary may begin in the bytes fed before.
        begin = max(0, len(self._buffer) - _BOUNDARY_BYTES + 1)
        self._buffer += data
        end = 0
        for boundary in _BOUNDARY.finditer(self._buffer, begin):
            end = boundary.end()
        if len(self._buffer) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        if not end:
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        found = _ID.findall(events)
        if found:
            self.last_id = found[-1].decode("utf-8", "replace")
        return events
