"""Divides a stream of server-sent events into whole events."""

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Holds back an event until it is whole.

    Attributes:
        last_id (str or None): Identity of the last whole event.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._rest = b""

    @property
    def cut(self):
        """Whether bytes of an unfinished event are held back."""
        return bool(self._rest)

    def feed(self, data):
        """Return the whole events that the bytes complete; may be empty."""
        self._rest += data
        end = 0
        for boundary in _BOUNDARY.finditer(self._rest):
            end = boundary.end()
        if not end:
            return b""
        whole, self._rest = self._rest[:end], self._rest[end:]
        found = _ID.findall(whole)
        if found:
            self.last_id = found[-1].decode("utf-8", "replace")
        return whole
