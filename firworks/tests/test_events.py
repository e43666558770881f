"""Tests of the log's two forms."""

import io
import json

import pytest
from loguru import logger

from firworks.events import LogEvent, configure_logs, log_event


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
