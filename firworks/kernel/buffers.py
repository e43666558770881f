"""Limits the memory for responses that are held until they are complete.

Load pattern: faulty targets answer many requests at once with bytes that do not end.
Each response stays within its own limit, and all together exhaust the memory of a
small VM, which ends the requests of all callers.
"""

# A response is held completely up to this size, unless told otherwise.
MAX_RESPONSE_BYTES = 1_048_576
# So much of each response may be held at any time.
ASSURED_BYTES = 65_536
# Limit of what all responses together hold beyond that.
MAX_SHARED_BYTES = 33_554_432
# Limit of the same as a share of the process's budget, where there is one. Requests
# yield to responses up to it, as an endless request is its caller's own fault.
MAX_BUDGET_SHARE = 0.75


class ResponseBuffers:
    """Counts the bytes held of all responses.

    Args:
        max_response_bytes (int): Limit of each response.
        budget (IngressBudget or None): What is held counts there too.

    Attributes:
        max_response_bytes (int): That limit.
        shared_bytes (int): Bytes held beyond what is assured to each response.
    """

    __slots__ = ("max_response_bytes", "shared_bytes", "_budget", "_max_shared_bytes")

    def __init__(self, max_response_bytes=MAX_RESPONSE_BYTES, budget=None):
        self.max_response_bytes = max_response_bytes
        self.shared_bytes = 0
        self._budget = budget
        self._max_shared_bytes = MAX_SHARED_BYTES
        if budget is not None:
            share = int(MAX_BUDGET_SHARE * budget.capacity_bytes)
            self._max_shared_bytes = min(MAX_SHARED_BYTES, share)

    def resize(self, held, size):
        """Record that a response holds another number of bytes.

        Args:
            held (int): Bytes that it has held so far.
            size (int): Bytes that it holds now.

        Returns:
            bool: Whether it may hold more; if not, it must be passed on or given up.
        """
        change = _count_shared(size) - _count_shared(held)
        if change:
            self.shared_bytes += change
            if self._budget is not None:
                self._budget.reserve(change)
        if size > self.max_response_bytes:
            return False
        return size <= ASSURED_BYTES or self.shared_bytes <= self._max_shared_bytes


def _count_shared(size):
    return max(0, size - ASSURED_BYTES)
