"""Acceptance of configuration versions: a pure fold over the log's entries."""

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

# The checks of a released format never change: every reader must decide alike.
CHECKS = {FORMAT: parse_document}


def read_document(record):
    """Return the document's bytes that a record holds, or None when they are wrong."""
    data = unpack_document(record.document)
    if data is None or hashlib.sha256(data).hexdigest() != record.digest:
        return None
    return data


class ConfigurationHistory:
    """Folds the entries of a configuration stream; all readers decide alike.

    A reader may begin at any offset. What it cannot decide, for want of the entries
    before, it keeps until a carry or a peer's state settles it.

    Args:
        checks (dict of int to callable): Parser of each known format number; it
            raises `SettingsError` for an invalid document.

    Attributes:
        cursor (int): Offset of the next entry to read; None before the first.
        run_start (int): Since this offset no entry was missed.
        state (ConfigurationState): The newest state known exactly, or None.
        known (bool): Whether `state` takes in every entry before `cursor`.
        unknown_formats (int): Publications whose format this software lacks.
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
        """Begin, or begin again, to read at an offset."""
        self.cursor = offset
        self.run_start = offset
        self._undecided = []
        self.known = self.state is not None and self.state.position == offset
        if offset == 0:
            self.state = make_empty_state()
            self.known = True

    def fold(self, read):
        """Take in the entries of a `LogRead` and return the new decisions.

        Entries that were taken in before are skipped, and so is all that follows
        a missing entry.

        Returns:
            list of Decision: In the order of the log.
        """
        if self.cursor is None or read.oldest > self.cursor:
            self.begin(read.oldest)
        decisions = []
        for entry in read.entries:
            if entry.offset == self.cursor:
                decisions += self._fold_entry(entry)
        return decisions

    def adopt(self, carry, snapshot_position, carried_s):
        """Continue from a state that a peer or the log vouches for.

        Args:
            carry (Carry): The state.
            snapshot_position (int): Position of the newest carry in the log.
            carried_s (float): Wall time at which that carry was made.

        Returns:
            list of Decision: What could be decided thanks to it.
        """
        if not self._may_adopt(carry):
            return []
        document = self._find_document(carry)
        known_format = carry.format in self._checks
        if document is None and (known_format or read_document(carry) is None):
            return []
        if self.cursor is None or carry.position > self.cursor:
            self.begin(carry.position)
        self.state = ConfigurationState(
            carry.position,
            carry.version,
            carry.format,
            carry.digest,
            carry.document,
            document,
            snapshot_position,
            carried_s,
        )
        self.known = True
        waiting = [c for c in self._undecided if c.offset >= carry.position]
        self._undecided = []
        return self._decide_all(waiting)

    def _find_document(self, carry):
        """Return the parsed document of a carry, or None."""
        if self.state is not None and self.state.digest == carry.digest:
            return self.state.document
        return self._check(carry) if carry.format in self._checks else None

    def _check(self, record):
        """Return the `Document` of a record of known format, or None when invalid."""
        data = read_document(record)
        if data is None:
            return None
        try:
            return self._checks[record.format](data)
        except SettingsError:
            return None

    def _may_adopt(self, carry):
        """Return whether a carry tells more than is known, with nothing missed."""
        if carry.version >= carry.position:
            return False
        if self.state is not None and carry.version < self.state.version:
            return False
        if self.cursor is None or carry.position > self.cursor:
            return True
        return not self.known and carry.position >= self.run_start

    def _fold_entry(self, entry):
        decisions = []
        for record in entry.records:
            decisions += self._take(record, entry)
        self.cursor = entry.offset + 1
        if self.known:
            self.state.position = self.cursor
        return decisions

    @singledispatchmethod
    def _take(self, record, entry):
        return []

    @_take.register(Publish)
    @_take.register(Restore)
    def _take_publication(self, record, entry):
        return self._decide_all([Candidate(entry.offset, entry.written_s, record)])

    @_take.register
    def _take_carry(self, record: Carry, entry):
        if record.position > entry.offset:
            return []
        made_s = min(record.made_s, entry.written_s)
        if not self.known:
            return self.adopt(record, record.position, made_s)
        if made_s > self.state.carried_s:
            self.state.snapshot_position = record.position
            self.state.carried_s = made_s
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
        """Return the `Decision` on a candidate, or None when it cannot be made."""
        offset, record = candidate.offset, candidate.record
        current = self.state.version if self.known else NO_VERSION
        applies = self._applies(record, offset)
        if applies and record.format not in self._checks:
            self._lose_track(offset)
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
        """Return whether a publication may replace the current version, or None."""
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

    def _lose_track(self, offset):
        """Note that the version is not known after a record of unknown format."""
        self.unknown_formats += 1
        if self.known:
            self.state.position = offset
        self.known = False

    def _accept(self, offset, record):
        document = self._check(record)
        if document is None:
            return Code.DOCUMENT_INVALID
        carried = (0, 0.0)
        if self.known:
            carried = (self.state.snapshot_position, self.state.carried_s)
        self.known = True
        self._undecided = []
        self.state = ConfigurationState(
            offset + 1,
            offset,
            record.format,
            record.digest,
            record.document,
            document,
            *carried,
        )
        return Code.OK
