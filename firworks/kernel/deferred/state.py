"""State of the deferred stream, computed from its log entries in offset order."""

from functools import singledispatchmethod

from firworks.kernel.deferred.records import AcceptRecord, DoneRecord
from firworks.kernel.messages import Struct

MAX_APPEND_DELAY_S = 3_600.0  # copies appended later than this are ignored
REQUEST_BYTES = 400  # estimated memory per request, without its body or response

RESULT_DONE = "done"
RESULT_OPEN = "open"
RESULT_MISSING = "missing"
RESULT_UNAVAILABLE = "unavailable"


class DoneResult(Struct):
    """The first response to a request and the wall time at which it was written."""

    __slots__ = ("account", "response", "written_s")


class DeferredState:
    """Open and completed deferred requests.

    Args:
        result_ttl_s (float): How long responses are stored, in seconds.

    Attributes:
        open (dict of str to AcceptRecord): Accepted requests without a response,
            oldest first.
        size_bytes (int): Estimate of the memory in use.
    """

    def __init__(self, result_ttl_s):
        self.open = {}
        self.size_bytes = 0
        self._result_ttl_s = result_ttl_s
        self._done = {}
        self._written_s = 0.0

    def apply_entry(self, entry):
        """Apply the records of a `LogEntry`; entries come in offset order."""
        self._written_s = max(self._written_s, entry.written_s)
        for record in entry.records:
            self.apply(record, entry.written_s)
        self._evict_old()

    @singledispatchmethod
    def apply(self, record, written_s):
        """Apply one record; records of other parts change nothing."""

    @apply.register
    def _(self, record: AcceptRecord, written_s):
        if record.request_id in self._done:
            return
        if not written_s - record.copied_s <= MAX_APPEND_DELAY_S:
            return
        known = self.open.get(record.request_id)
        if known is None:
            self.open[record.request_id] = record
            self.size_bytes += REQUEST_BYTES + len(record.body)
        elif known.copied_s < record.copied_s:
            self.open[record.request_id] = known.replace(copied_s=record.copied_s)

    @apply.register
    def _(self, record: DoneRecord, written_s):
        if record.request_id in self._done:
            return
        accepted = self.open.pop(record.request_id, None)
        if accepted is not None:
            self.size_bytes -= REQUEST_BYTES + len(accepted.body)
        result = DoneResult(record.account, record.response, written_s)
        self._done[record.request_id] = result
        self.size_bytes += REQUEST_BYTES + len(record.response)

    def reflects(self, record):
        """Return whether appending a record would no longer change this state."""
        if record.request_id in self._done:
            return True
        if isinstance(record, DoneRecord):
            return False
        known = self.open.get(record.request_id)
        return known is not None and known.copied_s >= record.copied_s

    def find(self, request_id, account):
        """Return the state (str) and the response (bytes) of an account's request."""
        done = self._done.get(request_id)
        if done is not None and done.account == account:
            return RESULT_DONE, done.response
        accepted = self.open.get(request_id)
        if accepted is not None and accepted.account == account:
            return RESULT_OPEN, b""
        return RESULT_MISSING, b""

    def _evict_old(self):
        horizon_s = self._written_s - self._result_ttl_s
        while self._done:
            request_id, oldest = next(iter(self._done.items()))
            if oldest.written_s >= horizon_s:
                return
            del self._done[request_id]
            self.size_bytes -= REQUEST_BYTES + len(oldest.response)
