"""The ledger: at most one run of non-repeatable work per idempotency key."""

from functools import singledispatchmethod

from xxhash import xxh64_intdigest

from firworks.events import LogEvent
from firworks.kernel.appends import compute_interval_s
from firworks.kernel.codec import encode_record
from firworks.kernel.fleet.events import MemberChanged
from firworks.kernel.ledger.claims import (
    CLAIM_EXPIRED,
    CLAIM_UNAVAILABLE,
    ClaimRefused,
    ClaimReleased,
    ClaimRequested,
    OutcomeReached,
    OutcomeUnknown,
)
from firworks.kernel.ledger.holder import ClaimHolder, Outbox
from firworks.kernel.ledger.lookups import Lookups
from firworks.kernel.ledger.writers import WriterSelector
from firworks.kernel.ledger.records import (
    LEDGER_RECORDS,
    LedgerDecision,
    LedgerHeard,
    LedgerStalled,
    LedgerStored,
    LedgerSubmit,
    LookupRequested,
    ResolutionRequested,
    get_record_id,
)
from firworks.kernel.ledger.state import LedgerState
from firworks.kernel.ledger.stream import LedgerStream
from firworks.kernel.messages import (
    LogResponse,
    WriteLogEvent,
    LogRead,
    PeerDisconnected,
    PeerReceived,
    SendPeer,
    Tick,
)
from firworks.kernel.record_server import RecordServer

IDLE_S = 60.0
WARM_AFTER_S = 2.0
STANDBYS = 1
SHARED_STREAMS = 1  # the deferred stream draws on the same budget
STREAM_PREFIX = "ledger-"


class Ledger(RecordServer):
    """Decides claims through the log's order and keeps their outcomes.

    Args:
        settings (Settings): Uses name, ledger_streams, ledger_memory_limit_bytes,
            append_budget_per_s, dedupe_window_s and clock_skew_s.
        relay (bool): Whether records may go through peers that are not the usual
            writer.
        standbys (int): Daemons next in line that follow each stream as well.
    """

    def __init__(self, settings, relay=True, standbys=STANDBYS):
        self._name = settings.name
        self._standbys = standbys
        self._streams_count = settings.ledger_streams
        self._limit_bytes = settings.ledger_memory_limit_bytes
        self._window_s = settings.dedupe_window_s
        self._skew_s = settings.clock_skew_s
        self._interval_s = compute_interval_s(
            settings.append_budget_per_s,
            settings.ledger_streams + SHARED_STREAMS,
        )
        self._choice = WriterSelector(settings.name, relay)
        self._outbox = Outbox(self._choice)
        self._holder = ClaimHolder(self._outbox)
        self._streams = {}
        self._lookups = Lookups(self._outbox)
        self._was_full = False
        self._wall_s = None
        self._ticked_s = 0.0
        self._started_s = None

    def may_dispatch(self, claim_id, now):
        """Return whether the holder of a won claim may dispatch at this moment.

        Args:
            claim_id (str): From `ClaimRequested`.
            now (float): Kernel time.

        Returns:
            bool: False also when the claim was released, its work has ended or its
                deadline has passed; after that an operator may settle the key.
        """
        request = self._holder.get_won(claim_id)
        if request is None or now >= request.deadline_s:
            return False
        return self._in_window(request.issued_s, now)

    @property
    def size_bytes(self):
        """Estimate of the memory that remembered claims take."""
        return sum(stream.state.size_bytes for stream in self._streams.values())

    @singledispatchmethod
    def _take(self, event, now):
        return []

    @_take.register
    def _(self, event: Tick, now):
        self._wall_s = event.wall_s
        self._ticked_s = now
        self._outbox.wake()
        for stream in self._streams.values():
            stream.state.wall_s = event.wall_s
        if self._started_s is None:
            self._started_s = now
        self._drop_idle_streams(now)
        if now >= self._started_s + WARM_AFTER_S:
            self._warm_streams(now)
        results = self._holder.expire(now) + self._lookups.expire(now)
        return results + self._note_full()

    @_take.register
    def _(self, event: ClaimRequested, now):
        if self._wall_s is None:
            return [ClaimRefused(event.claim_id, CLAIM_UNAVAILABLE)]
        if not self._in_window(event.issued_s, now):
            return [ClaimRefused(event.claim_id, CLAIM_EXPIRED)]
        return self._holder.request(event, self.name_stream(event.key))

    @_take.register
    def _(self, event: ClaimReleased, now):
        self._holder.release(event)
        return []

    @_take.register
    def _(self, event: OutcomeReached, now):
        self._holder.report_outcome(event)
        return []

    @_take.register
    def _(self, event: OutcomeUnknown, now):
        self._holder.report_unknown(event)
        return []

    @_take.register
    def _(self, event: MemberChanged | PeerDisconnected, now):
        self._outbox.apply_event(event, now)
        return []

    @_take.register
    def _(self, event: PeerReceived, now):
        return self._receive_message(event.message, event.peer, now)

    @_take.register
    def _(self, event: LogResponse, now):
        stream = self._streams.get(event.stream)
        if stream is None:
            return []
        gaps = stream.gaps
        results = self._deliver(stream.handle_event(event, now), now)
        if stream.gaps > gaps:
            fields = {"stream": stream.stream}
            results.append(WriteLogEvent(LogEvent.LEDGER_GAP, fields))
        if isinstance(event, LogRead):
            results += self._lookups.answer(stream)
        return results

    @_take.register
    def _(self, event: LookupRequested, now):
        stream = self._open_stream(self.name_stream(event.key), now)
        stream.refresh()
        self._lookups.ask(event, stream.stream, now)
        return []

    @_take.register
    def _(self, event: ResolutionRequested, now):
        stream = self._open_stream(self.name_stream(event.key), now)
        stream.refresh()
        self._lookups.resolve(event, stream.stream, now, self._find_wall(now))
        return []

    @singledispatchmethod
    def _receive_message(self, message, peer, now):
        """Take a peer's message; `peer` is this daemon's name for its own."""
        return []

    @_receive_message.register
    def _(self, message: LedgerSubmit, peer, now):
        if not self._is_stream(message.stream):
            return []
        records = [r for r in message.records if isinstance(r, LEDGER_RECORDS)]
        results = []
        if peer != self._name:
            names = tuple(get_record_id(record) for record in records)
            results.append(SendPeer(peer, LedgerHeard(names)))
        stream = self._open_stream(message.stream, now)
        for record in records:
            results += self._deliver(stream.submit(record, peer, now), now)
        return results

    @_receive_message.register
    def _(self, message: LedgerHeard, peer, now):
        self._outbox.mark_acknowledged(peer, message.ids)
        return []

    @_receive_message.register
    def _(self, message: LedgerStalled, peer, now):
        self._outbox.mark_stalled(peer, message.stream, now)
        return []

    @_receive_message.register
    def _(self, message: LedgerStored, peer, now):
        self._outbox.drop(message.id)
        return []

    @_receive_message.register
    def _(self, message: LedgerDecision, peer, now):
        return self._holder.apply_decision(message, now)

    def _list_streams(self):
        return self._streams.values()

    def name_stream(self, key):
        """Return the stream of a `WorkKey`."""
        number = xxh64_intdigest(encode_record(key)) % self._streams_count
        return f"{STREAM_PREFIX}{number}"

    def _is_stream(self, name):
        numbers = range(self._streams_count)
        return name in [f"{STREAM_PREFIX}{number}" for number in numbers]

    def _in_window(self, issued_s, now):
        age_s = self._find_wall(now) - issued_s
        return -self._skew_s <= age_s <= self._window_s

    def _find_wall(self, now):
        """Return the wall time at a kernel time; 0 before the first tick."""
        if self._wall_s is None:
            return 0.0
        return self._wall_s + (now - self._ticked_s)

    def _is_full(self):
        return self.size_bytes >= self._limit_bytes

    def _note_full(self):
        """Log once when the memory limit is reached."""
        was_full, self._was_full = self._was_full, self._is_full()
        if was_full or not self._was_full:
            return []
        fields = {"size_bytes": self.size_bytes}
        return [WriteLogEvent(LogEvent.LEDGER_FULL, fields)]

    def _open_stream(self, name, now):
        if name not in self._streams:
            self._streams[name] = LedgerStream(
                name, self._make_state, self._interval_s, self._is_full
            )
            self._streams[name].state.wall_s = self._wall_s or 0.0
        self._streams[name].used_s = now
        return self._streams[name]

    def _make_state(self):
        return LedgerState(self._window_s, self._skew_s, self._choice.has_ended)

    def _warm_streams(self, now):
        """Follow the streams that this daemon usually writes or is next to write."""
        for number in range(self._streams_count):
            name = f"{STREAM_PREFIX}{number}"
            if self._name in self._choice.get_writers(name, 1 + self._standbys):
                self._open_stream(name, now)

    def _drop_idle_streams(self, now):
        for name, stream in list(self._streams.items()):
            if stream.idle and now > stream.used_s + IDLE_S:
                del self._streams[name]
