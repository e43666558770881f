"""Remembers which parts of prompts had responses.

Load pattern: prompts of thousands of parts, nearly all of which other prompts share.
The work for each part of each request is left to operations on whole tables.
"""

from heapq import nsmallest

# Maximum number of parts that are remembered; those answered least recently go first.
MAX_ANSWERED = 32_768


class AnsweredParts:
    """Bounded table of answered parts, by fingerprint (bytes)."""

    def __init__(self):
        # The older half is dropped as a whole. Values are numbers of responses.
        self._recent = {}
        self._older = {}
        self._responses = 0

    def __contains__(self, part):
        return part in self._recent or part in self._older

    def __len__(self):
        return len(self._recent.keys() | self._older.keys())

    def add(self, parts):
        """Record a response to a request with some parts (collection of bytes)."""
        self._responses += 1
        self._recent.update(dict.fromkeys(parts, self._responses))
        if len(self._recent) > MAX_ANSWERED // 2:
            self._recent, self._older = {}, self._recent

    def list_stalest(self, parts, count):
        """Return those (list) of some parts whose latest response is the oldest.

        Args:
            parts (iterable of bytes): Answered parts.
            count (int): Maximum number to return.
        """
        return nsmallest(count, parts, key=self._get_response)

    def _get_response(self, part):
        return self._recent.get(part) or self._older.get(part, 0)
