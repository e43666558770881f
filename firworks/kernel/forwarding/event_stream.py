"""Divides a stream of server-sent events into whole events."""

import re

# An event holds the text of some tokens.
MAX_EVENT_BYTES = 262_144

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventTooLongError(ValueError):
    """An event goes on beyond ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Holds back an event until it is whole.

    Attributes:
        last_id (str or None): Identity of the last whole event.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._rest = b""

    @property
    def has_partial_event(self):
        """Whether bytes of an unfinished event are held back."""
        return bool(self._rest)

    def feed(self, data):
        """Return the whole events that the bytes complete; may be empty.

        Raises:
            EventTooLongError: When an event is longer than an event may be.
        """
        # A boundary may begin in what came before.
        begin = max(0, len(self._rest) - _BOUNDARY_BYTES + 1)
        self._rest += data
        end = 0
        for boundary in _BOUNDARY.finditer(self._rest, begin):
            end = boundary.end()
        if len(self._rest) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        if not end:
            return b""
        whole, self._rest = self._rest[:end], self._rest[end:]
        found = _ID.findall(whole)
        if found:
            self.last_id = found[-1].decode("utf-8", "replace")
        return whole
