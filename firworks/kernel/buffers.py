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


class ResponseBuffers:
    """Counts the bytes held of all responses.

    Args:
        max_response_bytes (int): Limit of each response.

    Attributes:
        max_response_bytes (int): That limit.
        shared_bytes (int): Bytes held beyond what is assured to each response.
    """

    __slots__ = ("max_response_bytes", "shared_bytes")

    def __init__(self, max_response_bytes=MAX_RESPONSE_BYTES):
        self.max_response_bytes = max_response_bytes
        self.shared_bytes = 0

    def resize(self, held, size):
        """Record that a response holds another number of bytes.

        Args:
            held (int): Bytes that it has held so far.
            size (int): Bytes that it holds now.

        Returns:
            bool: Whether it may hold more; if not, it must be passed on or given up.
        """
        self.shared_bytes += _count_shared(size) - _count_shared(held)
        if size > self.max_response_bytes:
            return False
        return size <= ASSURED_BYTES or self.shared_bytes <= MAX_SHARED_BYTES


def _count_shared(size):
    return max(0, size - ASSURED_BYTES)
