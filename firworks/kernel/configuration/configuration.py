"""Acceptance of configuration versions, as a pure fold over the entries of the log."""

import hashlib
from functools import singledispatchmethod

from firworks.codes import Code
from firworks.document import FORMAT, parse_document
from firworks.errors import SettingsError
from firworks.kernel.configuration.records import (
    NO_VERSION,
    Carry,
    Publish,
    Restore,
    unpack_document,
)
from firworks.kernel.configuration.state import (
    Candidate,
    ConfigurationState,
    Decision,
    make_empty_state,
)

# All readers must decide the same, so the checks of a released format never change.
CHECKS = {FORMAT: parse_document}


def read_document(record):
    """Return a record's document (bytes), or None if malformed or not of its digest."""
    data = unpack_document(record.document)
    if data is None or hashlib.sha256(data).hexdigest() != record.digest:
        return None
    return data


class ConfigurationHistory:
    """Folds the entries of a configuration stream; all readers decide the same.

    A reader may begin at any offset. Publications that it cannot decide without the
    earlier entries stay pending until a snapshot from the log or a peer settles them.

    Args:
        checks (dict of int to callable): Parser of each known format number; it
            raises `SettingsError` for an invalid document.

    Attributes:
        cursor (int): Offset of the next entry to read; None before the first.
        run_start (int): Every entry from this offset up to `cursor` was read; None
            before the first.
        state (ConfigurationState): The newest state known exactly, or None.
        known (bool): Whether `state` covers every entry before `cursor`.
        unknown_formats (int): How often a record's format had no parser.
    """

    def __init__(self, checks=CHECKS):
        self.cursor = None
        self.run_start = None
        self.state = None
        self.known = False
        self.unknown_formats = 0
        self._checks = checks
        self._undecided = []

    def begin(self, offset):
        """Begin or restart reading at an offset."""
        self.cursor = offset
        self.run_start = offset
        self._undecided = []
        self.known = self.state is not None and self.state.position == offset
        if offset == 0:
            self.state = make_empty_state()
            self.known = True

    def fold(self, read):
        """Apply the entries of a `LogRead` and return the new decisions.

        Skips entries that were applied before, and all that follow a missing entry.

        Returns:
            list of Decision: In log order.
        """
        if self.cursor is None or read.oldest > self.cursor:
            self.begin(read.oldest)
        decisions = []
        for entry in read.entries:
            if entry.offset == self.cursor:
                decisions += self._fold_entry(entry)
        return decisions

    def adopt(self, snapshot, snapshot_position, snapshot_made_s):
        """Continue from a snapshot that a peer sent or the log holds.

        Ignores one that adds nothing, is invalid or has missed entries after it.

        Args:
            snapshot (Carry): The state to continue from.
            snapshot_position (int): Position of the newest snapshot in the log.
            snapshot_made_s (float): Wall time at which that one was made.

        Returns:
            list of Decision: On the pending publications that it settles.
        """
        if not self._may_adopt(snapshot):
            return []
        document = self._find_document(snapshot)
        known_format = snapshot.format in self._checks
        if document is None and (known_format or read_document(snapshot) is None):
            return []
        if self.cursor is None or snapshot.position > self.cursor:
            self.begin(snapshot.position)
        self.state = ConfigurationState(
            snapshot.position,
            snapshot.version,
            snapshot.format,
            snapshot.digest,
            snapshot.document,
            document,
            snapshot_position,
            snapshot_made_s,
        )
        self.known = True
        waiting = [c for c in self._undecided if c.offset >= snapshot.position]
        self._undecided = []
        return self._decide_all(waiting)

    def _find_document(self, snapshot):
        """Return the parsed document of a snapshot, or None if unknown or invalid."""
        if self.state is not None and self.state.digest == snapshot.digest:
            return self.state.document
        return self._check(snapshot) if snapshot.format in self._checks else None

    def _check(self, record):
        """Return the `Document` of a record of known format, or None when invalid."""
        data = read_document(record)
        if data is None:
            return None
        try:
            return self._checks[record.format](data)
        except SettingsError:
            return None

    def _may_adopt(self, snapshot):
        """Return whether a snapshot adds knowledge and no entry after it was missed."""
        if snapshot.version >= snapshot.position:
            return False
        if self.state is not None and snapshot.version < self.state.version:
            return False
        if self.cursor is None or snapshot.position > self.cursor:
            return True
        return not self.known and snapshot.position >= self.run_start

    def _fold_entry(self, entry):
        decisions = []
        for record in entry.records:
            decisions += self._apply_record(record, entry)
        self.cursor = entry.offset + 1
        if self.known:
            self.state.position = self.cursor
        return decisions

    @singledispatchmethod
    def _apply_record(self, record, entry):
        return []

    @_apply_record.register(Publish)
    @_apply_record.register(Restore)
    def _apply_publication(self, record, entry):
        return self._decide_all([Candidate(entry.offset, entry.written_s, record)])

    @_apply_record.register
    def _apply_snapshot(self, record: Carry, entry):
        if record.position > entry.offset:
            return []
        made_s = min(record.made_s, entry.written_s)
        if not self.known:
            return self.adopt(record, record.position, made_s)
        if made_s > self.state.snapshot_made_s:
            self.state.snapshot_position = record.position
            self.state.snapshot_made_s = made_s
        return []

    def _decide_all(self, candidates):
        decisions = []
        for candidate in candidates:
            decision = self._decide(candidate)
            if decision is None:
                self._undecided.append(candidate)
            else:
                decisions.append(decision)
        if self.known:
            self.state.position = self.cursor
        return decisions

    def _decide(self, candidate):
        """Return the `Decision` on a candidate, or None if it must stay pending."""
        offset, record = candidate.offset, candidate.record
        current = self.state.version if self.known else NO_VERSION
        applies = self._applies(record, offset)
        if applies and record.format not in self._checks:
            self._mark_unknown(offset)
            applies = None
        if applies is None:
            return None
        code = self._accept(offset, record) if applies else Code.BASE_SUPERSEDED
        return Decision(
            record.publication_id,
            offset,
            code,
            current,
            record.digest,
            candidate.written_s,
        )

    @singledispatchmethod
    def _applies(self, record, offset):
        """Return whether a publication may replace the version; None if undecidable."""
        raise TypeError(type(record).__name__)

    @_applies.register
    def _applies_publish(self, record: Publish, offset):
        if record.base >= offset:
            return False
        return record.base == self.state.version if self.known else None

    @_applies.register
    def _applies_restore(self, record: Restore, offset):
        if record.position > offset:
            return False
        if self.known:
            return self.state.version < record.position
        # Undecided publications at or after the position may have been accepted.
        newest = self._undecided[-1].offset if self._undecided else NO_VERSION
        decidable = record.position >= self.run_start and newest < record.position
        return True if decidable else None

    def _mark_unknown(self, offset):
        """Mark the version as unknown from a record of unknown format on."""
        self.unknown_formats += 1
        if self.known:
            self.state.position = offset
        self.known = False

    def _accept(self, offset, record):
        document = self._check(record)
        if document is None:
            return Code.DOCUMENT_INVALID
        newest_snapshot = (0, 0.0)
        if self.known:
            newest_snapshot = (self.state.snapshot_position, self.state.snapshot_made_s)
        self.known = True
        self._undecided = []
        self.state = ConfigurationState(
            offset + 1,
            offset,
            record.format,
            record.digest,
            record.document,
            document,
            *newest_snapshot,
        )
        return Code.OK
