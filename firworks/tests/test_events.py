"""Tests of the log's two forms."""

import io
import json

import pytest
from loguru import logger

from firworks.events import (
    MAX_FIELD_CHARACTERS,
    MAX_TRACE_CHARACTERS,
    LogEvent,
    configure_logs,
    log_event,
    log_exception,
)


@pytest.fixture
def sink():
    yield io.StringIO()
    logger.remove()


class TestLogs:
    def test_json_lines(self, sink):
        configure_logs("json", sink)
        log_event(LogEvent.DAEMON_STARTED, name="d{1}<red>\n")
        log_event(LogEvent.PART_FAILED, part="x")
        first, second = map(json.loads, sink.getvalue().splitlines())
        assert (first["event"], first["name"]) == (100, "d{1}<red>\n")
        assert (second["event_name"], second["level"]) == ("PART_FAILED", "ERROR")

    def test_text(self, sink):
        configure_logs("text", sink)
        log_event(LogEvent.DAEMON_STARTED, name="d1")
        assert sink.getvalue().endswith("INFO 100 DAEMON_STARTED name=d1\n")


# A caller's id, or a value of a target, of 16 KB stood in each line about it.
class TestLongFields:
    LONG = "a" * 20_000

    def write(self, sink, **fields):
        """Write an event; return its line (dict)."""
        configure_logs("json", sink)
        log_event(LogEvent.ANSWER_MISMATCHED, **fields)
        return json.loads(sink.getvalue())

    @pytest.mark.parametrize("value", [LONG, [LONG], (LONG, [LONG])])
    def test_long_texts_are_cut(self, sink, value):
        line = self.write(sink, echoed=value, status=200)
        assert len(json.dumps(line["echoed"])) <= 2 * MAX_FIELD_CHARACTERS + 20
        assert line["status"] == 200

    def test_of_many_items_the_first_ones_are_named(self, sink):
        parts = self.write(sink, parts=[f"p{n}" for n in range(2_000)])["parts"]
        assert parts[:2] == ["p0", "p1"] and parts[-1] == "and 1900 more"
        assert len(parts) == 101

    def test_the_cause_of_an_exception_is_kept(self, sink):
        configure_logs("json", sink)
        log_exception("event", ValueError(self.LONG * 3 + "cause"))
        line = json.loads(sink.getvalue())
        assert line["trace"].endswith("cause\n")
        assert len(line["trace"]) == MAX_TRACE_CHARACTERS
        assert len(line["error"]) <= MAX_FIELD_CHARACTERS + 3
