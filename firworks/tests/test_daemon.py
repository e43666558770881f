"""Tests of the daemon's shell."""

import pytest
from loguru import logger

from firworks.daemon import Daemon
from firworks.events import LogEvent
from firworks.kernel.messages import Tick, WriteLogEvent
from firworks.settings import make_settings


@pytest.fixture
def daemon():
    table = {
        "name": "d1",
        "log_url": "http://127.0.0.1:1",
        "vms_url": "http://127.0.0.1:1",
    }
    return Daemon(make_settings(table))


class FaultyKernel:
    def __init__(self, actions):
        self.actions = actions

    def handle(self, event, now):
        if not self.actions:
            raise ZeroDivisionError
        return self.actions


class TestFaults:
    def test_fault_of_a_part_costs_one_event(self, daemon):
        lines = []
        sink = logger.add(lines.append)
        daemon.parts.kernel = FaultyKernel([])
        daemon.feed(Tick(0.0))
        logger.remove(sink)
        assert "PART_FAILED" in lines[0]

    def test_fault_of_an_adapter_costs_one_action(self, daemon, monkeypatch):
        carried = []

        def carry_out(action):
            carried.append(action.event)
            if action.event is LogEvent.DAEMON_READY:
                raise ValueError

        monkeypatch.setitem(daemon._action_handlers, WriteLogEvent, carry_out)
        events = (LogEvent.DAEMON_READY, LogEvent.DAEMON_STARTED)
        actions = [WriteLogEvent(event, {}) for event in events]
        daemon.parts.kernel = FaultyKernel(actions)
        daemon.feed(Tick(0.0))
        assert carried == list(events)
