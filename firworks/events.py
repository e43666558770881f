"""Numbered log events, written through loguru; see docs/EVENTS.md."""

from enum import IntEnum

from loguru import logger


class LogEvent(IntEnum):
    """A catalogued log event.

    Each area has a block of numbers: 100 daemon, 200 callers, 300 targets, 400
    ledger, 500 configuration, 600 fleet, 700 policy, 800 orders.
    """

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_DRAINING = 102
    DAEMON_STOPPED = 103
    DAEMON_DRAIN_TIMEOUT = 104
    PART_FAILED = 105

    VM_LIST_UNREADABLE = 600
    PEER_REFUSED = 601
    PEER_MALFORMED = 602
    PEER_LOST = 603
    PEER_SECRET_EMPTY = 604
    MEMBER_CHANGED = 605
    PEER_SILENT = 606
    TARGET_LEAVING = 607
    REQUEST_SUSPECTED = 608
    REQUEST_QUARANTINED = 609


# Levels of events that are not informational.
LEVELS = {
    LogEvent.DAEMON_DRAIN_TIMEOUT: "WARNING",
    LogEvent.PART_FAILED: "ERROR",
    LogEvent.VM_LIST_UNREADABLE: "WARNING",
    LogEvent.PEER_REFUSED: "WARNING",
    LogEvent.PEER_MALFORMED: "WARNING",
    LogEvent.PEER_SECRET_EMPTY: "WARNING",
    LogEvent.PEER_SILENT: "WARNING",
    LogEvent.REQUEST_QUARANTINED: "WARNING",
}


def log_event(event, **fields):
    """Write one catalogued event.

    Args:
        event (LogEvent): The event.
        **fields: Values that belong to it; bound as structured fields.
    """
    level = LEVELS.get(event, "INFO")
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=int(event), event_name=event.name, **fields)
    bound.log(level, "{:03d} {} {}", int(event), event.name, text)
