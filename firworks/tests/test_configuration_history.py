"""Tests that every reader of any part of the stream decides alike."""

import hashlib
import inspect
from functools import lru_cache
from types import ModuleType

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as run_settings
from hypothesis import strategies as st

from firworks.codes import Code
from firworks.document import parse_document
from firworks.kernel.configuration import configuration
from firworks.kernel.configuration.configuration import ConfigurationHistory
from firworks.kernel.configuration.records import (
    NO_VERSION,
    Carry,
    Publish,
    Restore,
    pack_document,
)
from firworks.kernel.messages import LogEntry, LogRead

STREAM = "config-production"
DOCUMENT = "format = 1\n[pipelines]\n[accounts]\n[pools.p]\nkind='service'\n"
INVALID = b"format = 1\nsurplus = 2\n"
NEW_FORMAT = b"format = 2\n"
OLD_CHECKS = {1: lru_cache(parse_document)}
NEW_CHECKS = {**OLD_CHECKS, 2: lambda data: "a document of format 2"}


def make_data(number=0):
    return f"{DOCUMENT}targets = ['t-{number}']\n".encode()


@lru_cache
def make_publish(name, base, data=None, number=0, form=1):
    data = make_data(number) if data is None else data
    digest = hashlib.sha256(data).hexdigest()
    return Publish(name, base, form, digest, pack_document(data))


def make_restore(name, position):
    made = make_publish(name, NO_VERSION, number=3)
    return Restore(name, position, made.format, made.digest, made.document)


class LogModel:
    """One stream and, beside it, what every reader ought to decide."""

    def __init__(self):
        self.entries = []
        self.oldest = 0
        self.current_at = [NO_VERSION]  # by position
        self.accepted = {}

    def land(self, record, written_s=None):
        offset = len(self.entries)
        current = self.current_at[-1]
        if self._accepts(record, offset, current):
            self.accepted[offset] = record
            current = offset
        written_s = float(offset) if written_s is None else written_s
        self.entries.append(LogEntry(offset, written_s, (record,)))
        self.current_at.append(current)

    def _accepts(self, record, offset, current):
        if isinstance(record, Carry) or record.publication_id.startswith("invalid"):
            return False
        if isinstance(record, Restore):
            return current < record.position <= offset
        return record.base == current

    def read(self, asked, count=3):
        start = max(self.oldest, asked or 0)
        entries = tuple(self.entries[start : start + count])
        return LogRead(STREAM, asked, self.oldest, len(self.entries), entries)

    def make_snapshot(self, position):
        """Return the carry of what was accepted before a position, or None."""
        version = self.current_at[position]
        if version == NO_VERSION:
            return None
        made = self.accepted[version]
        fields = (made.format, made.digest, made.document)
        return Carry(position, version, *fields, float(position))

    def choose_base(self, age):
        versions = [NO_VERSION, *sorted(self.accepted)]
        return versions[-1 - min(age, len(versions) - 1)]

    def make_publication(self, kind, age, number=0):
        """Return a record of a kind, based on the `age`-th newest version."""
        name = f"{kind}-{len(self.entries)}"
        if kind == "restore":
            return make_restore(name, max(0, len(self.entries) + 1 - age))
        data = {"invalid": INVALID, "format": NEW_FORMAT}.get(kind)
        form = 2 if kind == "format" else 1
        return make_publish(name, self.choose_base(age), data, number, form)

    def check_history(self, history):
        """Check a reader's state, exact or out of date, against the model."""
        state = history.state
        if state is None:
            return
        assert state.version == self.current_at[state.position]
        if state.version != NO_VERSION:
            assert state.digest == self.accepted[state.version].digest

    def check_decision(self, decision):
        assert decision.accepted == (decision.offset in self.accepted)


KINDS = ("valid", "valid", "invalid", "format", "restore", "carry", "carry")
STEPS = st.tuples(
    st.sampled_from(KINDS), st.sampled_from([0, 0, 0, 1, 2, 3]), st.booleans()
)


def write_log(steps):
    """Write a stream in which records are late, doubled and out of date."""
    log = LogModel()
    for kind, age, doubled in steps:
        if kind == "carry":
            record = log.make_snapshot(max(0, len(log.entries) - age))
        else:
            record = log.make_publication(kind, age)
        if record is not None:
            log.land(record)
            if doubled:
                log.land(record)
    return log


def read_suffix(history, log, draws):
    """Read with gaps, repeats and holes, checking every state and decision."""
    for count, back, skip, oldest in draws:
        log.oldest = max(log.oldest, min(oldest, len(log.entries)))
        asked = max(0, (history.cursor or 0) - back)
        read = log.read(asked, count)
        if skip and len(read.entries) > 1:
            kept = read.entries[:skip] + read.entries[skip + 1 :]
            read = read.replace(entries=kept)
        for decision in history.fold(read):
            log.check_decision(decision)
        log.check_history(history)


DRAWS = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.sampled_from([0, 0, 0, 2]),
        st.sampled_from([0, 0, 0, 1, 2]),
        st.sampled_from([0, 0, 0, 0, 2, 5, 9]),
    ),
    min_size=6,
    max_size=12,
)
EXAMPLE = st.tuples(st.lists(STEPS, min_size=4, max_size=14), DRAWS, st.booleans())


def check_example(example, cls=ConfigurationHistory):
    steps, draws, new = example
    read_suffix(cls(NEW_CHECKS if new else OLD_CHECKS), write_log(steps), draws)


class TestConfigurationHistory:
    def test_one_of_two_racing_publications_wins(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(make_publish("b", NO_VERSION))
        history = ConfigurationHistory()
        decisions = history.fold(log.read(0))
        assert [d.code for d in decisions] == [Code.OK, Code.BASE_SUPERSEDED]
        assert (history.state.version, decisions[1].current) == (0, 0)

    def test_invalid_documents_are_refused(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION, INVALID))
        log.land(make_publish("b", NO_VERSION).replace(digest="0" * 64))
        log.land(make_publish("c", NO_VERSION).replace(document=b"not packed"))
        decisions = ConfigurationHistory().fold(log.read(0))
        assert [d.code for d in decisions] == [Code.DOCUMENT_INVALID] * 3

    @pytest.mark.parametrize(
        "line",
        [
            "a = " + "[" * 5000 + "]" * 5000,
            "a = " + "[" * 40 + "]" * 40,
            "a." * 5000 + "b = 1",
            "a = " + "9" * 5000,
        ],
        ids=["arrays", "somewhat deep arrays", "tables", "long number"],
    )
    def test_documents_that_break_a_parser_are_refused(self, line):
        log = LogModel()
        data = f"format = 1\n[pipelines]\n[pools]\n[accounts]\n{line}\n".encode()
        log.land(make_publish("invalid", NO_VERSION, data))
        decisions = ConfigurationHistory().fold(log.read(0))
        assert [d.code for d in decisions] == [Code.DOCUMENT_INVALID]

    def test_a_snapshot_of_a_future_position_is_ignored(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(log.make_snapshot(1).replace(position=9))
        history = ConfigurationHistory()
        history.begin(1)
        history.fold(log.read(1))
        assert history.state is None

    def test_a_late_snapshot_does_not_delay_the_next(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(log.make_snapshot(1))
        history = ConfigurationHistory()
        history.fold(log.read(0))
        assert (history.state.snapshot_position, history.state.carried_s) == (1, 1.0)
        log.land(log.make_snapshot(1).replace(made_s=0.5))
        history.fold(log.read(2))
        assert history.state.carried_s == 1.0

    def test_a_reader_that_missed_entries_resumes_from_a_snapshot(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        history = ConfigurationHistory()
        history.fold(log.read(0))
        log.land(make_publish("b", 0))
        log.land(make_publish("c", 1))
        log.oldest = 2
        history.fold(log.read(1))
        assert (history.known, history.state.version) == (False, 0)
        log.land(log.make_snapshot(2))
        history.fold(log.read(3))
        assert (history.known, history.state.version) == (True, 2)

    @run_settings(max_examples=400)
    @given(EXAMPLE)
    def test_readers_of_any_suffix_decide_alike(self, example):
        check_example(example)

    @given(st.lists(STEPS, max_size=14), st.data())
    def test_states_of_peers_are_as_good_as_carries(self, steps, data):
        log = write_log(steps)
        history = ConfigurationHistory(NEW_CHECKS)
        positions = st.integers(0, len(log.entries))
        for position in data.draw(st.lists(positions, max_size=4)):
            carry = log.make_snapshot(position)
            if carry is not None:
                history.adopt(carry, 0, 0.0)
                log.check_history(history)
            history.fold(log.read(history.cursor))
            log.check_history(history)


GUARDS = {
    "base": (
        "return record.base == self.state.version if self.known else None",
        "return True if self.known else None",
    ),
    "unknown start": ("if offset == 0:", "if offset >= 0:"),
    "missing entry": ("entry.offset == self.cursor", "entry.offset >= self.cursor"),
    "entry read twice": ("entry.offset == self.cursor", "entry.offset <= self.cursor"),
    "carry before the run": ("carry.position >= self.run_start", "True"),
    "replay after a carry": ("if c.offset >= carry.position", "if False"),
    "replay of what follows only": ("if c.offset >= carry.position", "if True"),
    "late restore": ("self.state.version < record.position", "True"),
    "future restore": ("if record.position > offset:", "if False:"),
    "restore over undecided": ("newest < record.position", "True"),
    "restore before the run": ("record.position >= self.run_start and", ""),
    "unknown format": ("self._lose_track(offset)", "return None"),
}


def mutate(module, *changes):
    """Return a copy of a module with pieces of its source replaced."""
    source = inspect.getsource(module)
    for old, new in changes:
        assert source.count(old) == 1
        source = source.replace(old, new)
    copy = ModuleType(module.__name__)
    exec(compile(source, module.__file__, "exec"), copy.__dict__)
    return copy


class TestGuards:
    @pytest.mark.parametrize("guard", GUARDS)
    def test_without_a_guard_readers_differ(self, guard):
        copy = mutate(configuration, GUARDS[guard])

        @run_settings(
            derandomize=True,
            max_examples=4000,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
            database=None,
        )
        @given(EXAMPLE)
        def check(example):
            check_example(example, copy.ConfigurationHistory)

        with pytest.raises((AssertionError, IndexError, KeyError, AttributeError)):
            check()
