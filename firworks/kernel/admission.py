"""Queues of calls with fair shares by client account, and concurrency limits."""

from collections import deque
from heapq import heapify, heappop, heappush

DEFERRED_SHARE = 0.05
MIN_RETRY_AFTER_S = 0.2


class QueuedCall:
    """A call that waits for a target.

    Attributes:
        call (CallRequested): The call.
        due_s (float): Kernel time by which the stage must be complete.
        queued_s (float): Kernel time at which the call was queued.
        weight (float): Weight of its client account.
        withdrawn (bool): The call was cancelled and must not be dispatched.
    """

    __slots__ = ("call", "due_s", "queued_s", "weight", "withdrawn")

    def __init__(self, call, due_s, queued_s, weight):
        self.call = call
        self.due_s = due_s
        self.queued_s = queued_s
        self.weight = weight
        self.withdrawn = False


class FifoQueue:
    """Calls in order of arrival (first in, first out)."""

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
        """Put an entry that could not be placed back at the head."""
        self._entries.appendleft(entry)

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        dropped = [entry for entry in self._entries if drop(entry)]
        if dropped:
            self._entries = deque(e for e in self._entries if not drop(e))
        return dropped


class FairQueue:
    """Earliest deadline first within fair shares by client account.

    Start-time fair queueing selects the account: each placed call advances its
    account's virtual time by the inverse of the account's weight, and the account
    with the lowest virtual time is served next. Deferred calls have their own queue.
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
        """Put an entry that could not be placed back and undo its account's charge."""
        self.push(entry)
        self._times[entry.call.account] -= 1.0 / entry.weight

    def count_ahead(self, account):
        """Return an upper bound on the calls served before a new one of an account."""
        own = len(self._heaps.get(account, ()))
        others = len(self._heaps) - (account in self._heaps)
        return min(self._length, own + others * (own + 1))

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        dropped = []
        for account in list(self._heaps):
            heap = self._heaps[account]
            removed = [item[2] for item in heap if drop(item[2])]
            if not removed:
                continue
            dropped.extend(removed)
            heap[:] = [item for item in heap if not drop(item[2])]
            heapify(heap)
            if not heap:
                del self._heaps[account]
        self._length -= len(dropped)
        return dropped


class PoolQueue:
    """The calls that wait for one pool, with a separate queue for deferred ones.

    Args:
        fair (bool): Use fair shares and early rejection; otherwise, plain order of
            arrival.

    Attributes:
        regular (FairQueue or FifoQueue): Calls that are not deferred.
        deferred (FifoQueue): Deferred calls; unused unless `fair` is set.
    """

    def __init__(self, fair):
        self.fair = fair
        self.regular = FairQueue() if fair else FifoQueue()
        self.deferred = FifoQueue()
        self._deferred_credit = 0.0

    def __len__(self):
        return len(self.regular) + len(self.deferred)

    def push(self, entry):
        """Add a `QueuedCall`."""
        queue = self.deferred if self.fair and entry.call.deferred else self.regular
        queue.push(entry)

    def select_queue(self, spare):
        """Return the queue that supplies the next call, or None if there is none.

        Args:
            spare (bool): The pool has capacity that non-deferred calls do not need.
        """
        if self.deferred and (self._deferred_credit >= 1.0 or not self.regular):
            if spare or self._deferred_credit >= 1.0:
                return self.deferred
        return self.regular if self.regular else None

    def record_placed(self, queue):
        """Record that a call from `queue` was placed.

        Each non-deferred call adds `DEFERRED_SHARE` to the credit of waiting deferred
        calls, so that they are not starved when there is never spare capacity.
        """
        if queue is self.deferred:
            self._deferred_credit = max(0.0, self._deferred_credit - 1.0)
        elif self.deferred:
            self._deferred_credit += DEFERRED_SHARE

    def discard(self, drop):
        """Remove and return the entries for which `drop` is true."""
        return self.regular.discard(drop) + self.deferred.discard(drop)


def estimate_wait(queued, in_flight, typical_s):
    """Return the estimated queueing time in seconds of a call.

    By Little's law, calls complete at a rate of `in_flight` over `typical_s`.

    Args:
        queued (int): Calls ahead in the queue.
        in_flight (int): This daemon's calls in flight in the pool.
        typical_s (float): Median latency of the pool in seconds.
    """
    return queued * typical_s / max(in_flight, 1)


class AdaptiveLimit:
    """A target's concurrency limit, adapted to its latency.

    Used for targets that do not report their capacity: slow responses lower the limit
    below the configured concurrency; latencies near the typical one raise it again
    while the limit is nearly reached.

    Attributes:
        value (float): Requests that the target may have in progress.
    """

    __slots__ = ("value", "_max_limit", "_lowered_s")

    SLOW_RATIO = 2.0
    FAST_RATIO = 1.3
    BACKOFF_FACTOR = 0.85
    MIN_LIMIT = 1.0
    MIN_LIMIT_SHARE = 0.25

    def __init__(self, initial):
        self.value = float(initial)
        self._max_limit = float(initial)
        self._lowered_s = float("-inf")

    def observe(self, ratio, load, latency_s, now):
        """Adjust the limit after a response.

        Args:
            ratio (float): Latency relative to the typical one of the stage.
            load (float): Requests in progress at the target.
            latency_s (float): Latency of the response; the limit is lowered at most
                once in that time.
            now (float): Kernel time.
        """
        if ratio > self.SLOW_RATIO:
            if now - self._lowered_s >= latency_s:
                self.back_off(now)
        elif ratio < self.FAST_RATIO and load >= 0.8 * self.value:
            self.value = min(self._max_limit, self.value + 1.0 / self.value)

    def back_off(self, now):
        """Lower the limit; also called when the target refuses work."""
        smallest = max(self.MIN_LIMIT, self.MIN_LIMIT_SHARE * self._max_limit)
        self.value = max(smallest, self.value * self.BACKOFF_FACTOR)
        self._lowered_s = now
