"""Queues of calls, fair between client accounts, and refusal without delay."""

from collections import deque
from heapq import heapify, heappop, heappush

DEFERRED_SHARE = 0.05
MIN_RETRY_AFTER_S = 0.2


class QueuedCall:
    """A call that waits for a target.

    Attributes:
        call (CallRequested): The call.
        due_s (float): Kernel time at which the stage must be done.
        queued_s (float): Kernel time at which it was queued.
        weight (float): Its client account's weight.
        withdrawn (bool): No longer wanted.
    """

    __slots__ = ("call", "due_s", "queued_s", "weight", "withdrawn")

    def __init__(self, call, due_s, queued_s, weight):
        self.call = call
        self.due_s = due_s
        self.queued_s = queued_s
        self.weight = weight
        self.withdrawn = False


class FifoQueue:
    """Calls in order of arrival."""

    def __init__(self):
        self._entries = deque()

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(self._entries)

    def push(self, entry):
        """Add a `QueuedCall`."""
        self._entries.append(entry)

    def pop(self):
        """Remove and return the next `QueuedCall`."""
        return self._entries.popleft()

    def requeue(self, entry):
        """Return an entry that could not be placed to the head."""
        self._entries.appendleft(entry)

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        dropped = [entry for entry in self._entries if drop(entry)]
        if dropped:
            self._entries = deque(e for e in self._entries if not drop(e))
        return dropped


class FairQueue:
    """Earliest deadline first within fair shares by client account.

    Accounts take turns by start-time fair queueing: each placed call advances its
    account's virtual time by one over the account's weight, and the account that
    is furthest behind goes next. Deferred calls wait in their own line.
    """

    def __init__(self):
        self._heaps = {}
        self._times = {}
        self._clock = 0.0
        self._order = 0
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self):
        for heap in self._heaps.values():
            for _, _, entry in heap:
                yield entry

    def push(self, entry):
        """Add a `QueuedCall`."""
        account = entry.call.account
        heap = self._heaps.get(account)
        if heap is None:
            heap = self._heaps[account] = []
            self._times[account] = max(self._times.get(account, 0.0), self._clock)
        self._order += 1
        self._length += 1
        heappush(heap, (entry.due_s, self._order, entry))

    def pop(self):
        """Remove and return the next `QueuedCall`."""
        account = min(self._heaps, key=self._times.__getitem__)
        heap = self._heaps[account]
        entry = heappop(heap)[2]
        self._clock = self._times[account]
        self._times[account] += 1.0 / entry.weight
        self._length -= 1
        if not heap:
            del self._heaps[account]
        return entry

    def requeue(self, entry):
        """Return an entry that could not be placed, with its account's turn."""
        self.push(entry)
        self._times[entry.call.account] -= 1.0 / entry.weight

    def count_ahead(self, account):
        """Return how many calls go before a new one of an account, at most."""
        own = len(self._heaps.get(account, ()))
        others = len(self._heaps) - (account in self._heaps)
        return min(self._length, own + others * (own + 1))

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        dropped = []
        for account in list(self._heaps):
            heap = self._heaps[account]
            gone = [item[2] for item in heap if drop(item[2])]
            if not gone:
                continue
            dropped.extend(gone)
            heap[:] = [item for item in heap if not drop(item[2])]
            heapify(heap)
            if not heap:
                del self._heaps[account]
        self._length -= len(dropped)
        return dropped


class PoolQueue:
    """The calls that wait for one pool, with deferred ones apart.

    Args:
        fair (bool): Fair shares and early refusal, or plain order of arrival.
    """

    def __init__(self, fair):
        self.fair = fair
        self.urgent = FairQueue() if fair else FifoQueue()
        self.deferred = FifoQueue()
        self._deferred_credit = 0.0

    def __len__(self):
        return len(self.urgent) + len(self.deferred)

    def push(self, entry):
        """Add a `QueuedCall`."""
        line = self.deferred if self.fair and entry.call.deferred else self.urgent
        line.push(entry)

    def select_queue(self, spare):
        """Return the line to take the next call from, or None when all are empty.

        Args:
            spare (bool): The pool has capacity that urgent calls do not need.
        """
        if self.deferred and (self._deferred_credit >= 1.0 or not self.urgent):
            if spare or self._deferred_credit >= 1.0:
                return self.deferred
        return self.urgent if self.urgent else None

    def record_placed(self, line):
        """Take note that a call of a line was placed.

        Each urgent call earns waiting deferred ones a share of a place, so that
        they arrive even when capacity is never spare.
        """
        if line is self.deferred:
            self._deferred_credit = max(0.0, self._deferred_credit - 1.0)
        elif self.deferred:
            self._deferred_credit += DEFERRED_SHARE

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        return self.urgent.discard(drop) + self.deferred.discard(drop)


def estimate_wait(queued, in_flight, typical_s):
    """Return the seconds until a call behind `queued` others gets its place.

    By Little's law the calls in flight leave at a rate of their number over the
    typical latency.

    Args:
        queued (int): Calls ahead.
        in_flight (int): This daemon's calls in the pool.
        typical_s (float): Median latency of the pool.
    """
    return queued * typical_s / max(in_flight, 1)


class AdaptiveLimit:
    """A target's concurrency limit, learned from latency.

    Used for targets that do not report their capacity: slow answers lower the limit
    below the document's concurrency, latencies near the typical one raise it again
    while it is in use.

    Attributes:
        value (float): Requests that the target may have in progress.
    """

    __slots__ = ("value", "_largest", "_lowered_s")

    SLOW_RATIO = 2.0
    FAST_RATIO = 1.3
    BACKOFF = 0.85
    SMALLEST = 1.0
    SMALLEST_SHARE = 0.25

    def __init__(self, initial):
        self.value = float(initial)
        self._largest = float(initial)
        self._lowered_s = float("-inf")

    def observe(self, ratio, load, latency_s, now):
        """Count one answer.

        Args:
            ratio (float): Latency relative to the typical one of the stage.
            load (float): Requests in progress at the target.
            latency_s (float): The answer's latency; the limit falls at most once
                in that time.
            now (float): Kernel time.
        """
        if ratio > self.SLOW_RATIO:
            if now - self._lowered_s >= latency_s:
                self.back_off(now)
        elif ratio < self.FAST_RATIO and load >= 0.8 * self.value:
            self.value = min(self._largest, self.value + 1.0 / self.value)

    def back_off(self, now):
        """Lower the limit; also when the target refuses work."""
        smallest = max(self.SMALLEST, self.SMALLEST_SHARE * self._largest)
        self.value = max(smallest, self.value * self.BACKOFF)
        self._lowered_s = now
