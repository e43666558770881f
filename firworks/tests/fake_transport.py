"""A transport without a connection."""

import asyncio


class FakeTransport(asyncio.Transport):
    """A test double that records whether it was closed or paused."""

    def __init__(self):
        super().__init__()
        self.closed = False
        self.paused = False

    def write(self, data):
        """Discard the data."""

    def is_closing(self):
        """Return whether the transport was closed."""
        return self.closed

    def close(self):
        """Record a close."""
        self.closed = True

    abort = close

    def pause_reading(self):
        """Record that reading is paused."""
        self.paused = True

    def resume_reading(self):
        """Record that reading is resumed."""
        self.paused = False
