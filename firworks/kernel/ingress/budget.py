"""Counts the bytes held for callers, and chooses whom to end when they run short.

Load pattern: 80 callers keep bodies of 4 MiB open just short of their end, which takes
a gateway of 49 MB to 386 MB; VMs have 152 MB. Ending any connection would hit ordinary
callers as well, so that those without progress are ended first.
"""

from firworks.kernel.ingress.limits import ASSURED_BYTES, CONNECTION_BYTES

# A connection without progress for this long is stalled. A lost packet is sent again
# within a few hundred milliseconds.
STALL_S = 1.0
# Share of the budget that is freed at once, so that others go on for a while.
FREED_SHARE = 0.125


class _Holding:
    """What one connection holds.

    Attributes:
        held (int): Bytes.
        progress_s (float): When that last changed; monotonic seconds.
        waiting (bool): It was refused further bytes, so that it can't make progress.
        protected (bool): Its request runs, so that it is not ended.
    """

    __slots__ = ("held", "progress_s", "waiting", "protected")

    def __init__(self, now):
        self.held = 0
        self.progress_s = now
        self.waiting = False
        self.protected = False


class IngressBudget:
    """The bytes held for all connections of a process.

    Connections are named by any hashable value. What is assured to each connection is
    granted even if there is no room; the number of connections limits it.

    Args:
        capacity_bytes (int): Limit of what is held.

    Attributes:
        capacity_bytes (int): That limit.
        held_bytes (int): Bytes held, those of the connections themselves and of
            responses of targets included.
    """

    __slots__ = ("capacity_bytes", "held_bytes", "_holdings", "_waiting", "_short_s")

    def __init__(self, capacity_bytes):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self._holdings = {}
        self._waiting = {}
        self._short_s = None

    @property
    def has_room(self):
        """Whether more may be held than what is assured."""
        return self.held_bytes <= self.capacity_bytes

    @property
    def has_waiting(self):
        """Whether a connection waits for room."""
        return bool(self._waiting)

    def add(self, connection, now):
        """Start to count a connection, at a time in monotonic seconds."""
        self._holdings[connection] = _Holding(now)
        self.held_bytes += CONNECTION_BYTES

    def remove(self, connection):
        """Return what a connection held, which ended in any way."""
        holding = self._holdings.pop(connection, None)
        self._waiting.pop(connection, None)
        if holding is not None:
            self.held_bytes -= holding.held + CONNECTION_BYTES

    def reserve(self, change):
        """Count bytes (int, also negative) that no connection of a caller holds."""
        self.held_bytes += change

    def resize(self, connection, held_bytes, now):
        """Record that a connection holds another number of bytes.

        Args:
            connection: As added; others are ignored.
            held_bytes (int): What it holds now.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether more may be read from it. If not, it waits until `grant`.
        """
        holding = self._holdings.get(connection)
        if holding is None:
            return False
        if held_bytes != holding.held:
            self.held_bytes += held_bytes - holding.held
            holding.held = held_bytes
            holding.progress_s = now
        if held_bytes <= ASSURED_BYTES or self.has_room:
            if holding.waiting:
                holding.waiting = False
                del self._waiting[connection]
            return True
        holding.waiting = True
        self._waiting[connection] = None
        return False

    def protect(self, connection, protected):
        """Set whether a connection's request runs, so that it is not ended."""
        holding = self._holdings.get(connection)
        if holding is not None:
            holding.protected = protected

    def grant(self, now):
        """Return a connection that waited and may read now, or None."""
        if not self._waiting or not self.has_room:
            return None
        connection = next(iter(self._waiting))
        del self._waiting[connection]
        holding = self._holdings[connection]
        holding.waiting = False
        holding.progress_s = now
        return connection

    def choose_victims(self, now):
        """Return the connections (list) to end at a time in monotonic seconds.

        None while there is room. Stalled connections come first, those longest without
        progress before others, then the largest; the latter only after a shortage of
        ``STALL_S``, when it is known which connections are stalled, and if ending all
        stalled ones does not suffice.
        """
        if self.has_room:
            self._short_s = None
            return []
        if self._short_s is None:
            self._short_s = now
        holders = [
            (connection, holding)
            for connection, holding in self._holdings.items()
            if holding.held and not holding.protected
        ]
        if now - self._short_s < STALL_S:
            holders = [each for each in holders if _is_stalled(each[1], now)]
        return self._take(sorted(holders, key=lambda each: _rank(each[1], now)))

    def choose_victim(self, connections, now):
        """Return the connection to end in place of a new one, or None.

        Args:
            connections (container): Those to choose from.
            now (float): Monotonic seconds.
        """
        order = [
            (_rank(holding, now), number, connection)
            for number, (connection, holding) in enumerate(self._holdings.items())
            if connection in connections and holding.held and not holding.protected
        ]
        return min(order)[2] if order else None

    def _take(self, ordered):
        """Return the first connections that together free enough."""
        missing = self.held_bytes - self.capacity_bytes
        missing += FREED_SHARE * self.capacity_bytes
        taken = []
        for connection, holding in ordered:
            if missing <= 0:
                break
            taken.append(connection)
            missing -= holding.held
        return taken


def _rank(holding, now):
    """Return what orders connections by when they are to be ended."""
    if _is_stalled(holding, now):
        return (0, holding.progress_s, -holding.held)
    return (1, -holding.held, holding.progress_s)


def _is_stalled(holding, now):
    return not holding.waiting and now - holding.progress_s >= STALL_S
