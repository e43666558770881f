"""Serves the deferred stream: appends and reads records."""

from firworks.kernel.deferred.records import AcceptRecord
from firworks.kernel.ledger.claims import CLAIM_FULL
from firworks.kernel.ledger.records import LedgerDecision, Reply
from firworks.kernel.ledger.stream import LedgerStream


class DeferredStream(LedgerStream):
    """A `LedgerStream` of accepted requests and their responses.

    An accept counts as stored only once it was read back and opened the request;
    one that was appended too late does not.
    """

    def _advance(self, record_id, waiter):
        if not isinstance(waiter.record, AcceptRecord):
            return super()._advance(record_id, waiter)
        if not self.caught_up:
            return []
        if self.state.reflects(waiter.record):
            return self._report_stored(record_id)
        if not waiter.queued and self._is_full():
            del self._waiters[record_id]
            refusal = LedgerDecision(waiter.record.request_id, CLAIM_FULL)
            return [Reply(origin, refusal) for origin in waiter.origins]
        self._queue(waiter)
        return []
