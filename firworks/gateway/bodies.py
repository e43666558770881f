"""Bodies of responses that are held in memory."""

from collections import deque


class HeldBody:
    """The part of a body that was read and is held; a context manager.

    Args:
        buffers (ResponseBuffers): Counts the bytes held of all responses.

    Attributes:
        size (int): Bytes held.
    """

    __slots__ = ("size", "_buffers", "_parts")

    def __init__(self, buffers):
        self.size = 0
        self._buffers = buffers
        self._parts = deque()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._parts.clear()
        self._resize(0)

    def add(self, part):
        """Hold further bytes; return whether even more may be held."""
        self._parts.append(part)
        return self._resize(self.size + len(part))

    def pop(self):
        """Return the first bytes and hold them no longer; empty if none are left."""
        if not self._parts:
            return b""
        part = self._parts.popleft()
        self._resize(self.size - len(part))
        return part

    def join(self):
        """Return all bytes; they still count as held."""
        return b"".join(self._parts)

    def _resize(self, size):
        held, self.size = self.size, size
        return self._buffers.resize(held, size)
