"""Numbered log events, written with loguru; see docs/EVENTS.md."""

import json
import sys
from enum import IntEnum
from traceback import format_exception

from loguru import logger

# Of a field of a log line; callers and targets choose some of the values.
MAX_FIELD_CHARACTERS = 1_000
MAX_FIELD_ITEMS = 100
MAX_TRACE_CHARACTERS = 20_000
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


class LogEvent(IntEnum):
    """A log event of the catalogue.

    Each area has its own number range: 100 daemon, 200 callers, 300 targets, 400
    ledger, 500 configuration, 600 fleet, 700 policy, 800 orders, 900
    forwarding.
    """

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_DRAINING = 102
    DAEMON_STOPPED = 103
    DAEMON_DRAIN_TIMEOUT = 104
    PART_FAILED = 105
    ANSWER_MISMATCHED = 300
    LOAD_UNREADABLE = 301
    ADMIN_FAILED = 106
    DRAIN_REQUESTED = 107
    KEY_RESOLVED = 108

    CALLER_LIMITED = 200

    LOG_RECORD_SKIPPED = 400
    LOG_APPEND_FAILED = 401
    LOG_READ_FAILED = 402
    LEDGER_GAP = 403
    LEDGER_FULL = 404

    CONFIGURATION_IN_FORCE = 500
    CONFIGURATION_FORMAT_UNKNOWN = 501
    CONFIGURATION_LOG_UNREADABLE = 502

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

    REQUEST_ANSWERED = 900
    REQUEST_REFUSED = 901
    ATTEMPT_FAILED = 902
    ANSWER_BROKEN_OFF = 903
    STAGE_CALL_FAILED = 904
    RESULTS_NOT_FREED = 905
    CONFIGURATION_APPLIED = 906
    CONFIGURATION_UNREADABLE = 907
    TARGET_GONE = 908
    TARGET_UNREADABLE = 909
    STORE_LOST = 910
    STORE_REGAINED = 911
    STORE_RECORD_SKIPPED = 912
    MEMBER_SUSPECTED = 913
    MEMBER_CLEARED = 914
    MEMBER_UNREADABLE = 915
    STAGE_CALL_ANSWERED = 916
    NEWS_TAKEN = 917
    STAGES_RESTARTED = 918
    SETTINGS_RELOADED = 919
    SETTINGS_REFUSED = 920
    VM_SUSPENDED = 921
    READER_CHANGED = 922
    PROCESS_STOOD_STILL = 923
    TARGET_CHECKED = 924
    TRIAL_DECIDED = 925
    TARGET_RESTS = 926
    TARGET_WISH_ODD = 927
    DOMAINS_EVACUATED = 928
    TARGET_LIMITED = 929
    TARGET_LIMIT_ENDED = 930
    REQUEST_LIMITED = 931
    LIMIT_COORDINATOR_CHANGED = 932
    SUSPECT_CLEARED = 933
    STORE_RESTORED = 934
    STORE_ERA_UNREADABLE = 935
    STREAM_BEGUN = 936
    STREAM_ORIGIN_FOUND = 937
    VERSION_ADMITTED = 938
    VERSION_UNCONFIRMED = 939
    STREAMS_AMBIGUOUS = 940
    ACCOUNT_OVER_SHARE = 950
    ACCOUNT_WITHIN_SHARE = 951
    EXTRA_ATTEMPT_ENDED = 960

    TERM_GRANTED = 800
    ORDER_STALE = 801
    STATE_UNREADABLE = 802


# Levels of events that are not informational.
LEVELS = {
    LogEvent.DAEMON_DRAIN_TIMEOUT: "WARNING",
    LogEvent.PART_FAILED: "ERROR",
    LogEvent.ANSWER_MISMATCHED: "WARNING",
    LogEvent.LOAD_UNREADABLE: "WARNING",
    LogEvent.ADMIN_FAILED: "ERROR",
    LogEvent.KEY_RESOLVED: "WARNING",
    LogEvent.CALLER_LIMITED: "WARNING",
    LogEvent.LOG_RECORD_SKIPPED: "ERROR",
    LogEvent.LOG_APPEND_FAILED: "WARNING",
    LogEvent.LOG_READ_FAILED: "WARNING",
    LogEvent.LEDGER_GAP: "WARNING",
    LogEvent.LEDGER_FULL: "WARNING",
    LogEvent.CONFIGURATION_FORMAT_UNKNOWN: "WARNING",
    LogEvent.CONFIGURATION_LOG_UNREADABLE: "WARNING",
    LogEvent.VM_LIST_UNREADABLE: "WARNING",
    LogEvent.PEER_REFUSED: "WARNING",
    LogEvent.PEER_MALFORMED: "WARNING",
    LogEvent.PEER_SECRET_EMPTY: "WARNING",
    LogEvent.PEER_SILENT: "WARNING",
    LogEvent.REQUEST_QUARANTINED: "WARNING",
    LogEvent.ANSWER_BROKEN_OFF: "WARNING",
    LogEvent.STAGE_CALL_FAILED: "WARNING",
    LogEvent.RESULTS_NOT_FREED: "WARNING",
    LogEvent.CONFIGURATION_UNREADABLE: "WARNING",
    LogEvent.TARGET_UNREADABLE: "WARNING",
    LogEvent.STORE_LOST: "WARNING",
    LogEvent.STORE_RECORD_SKIPPED: "WARNING",
    LogEvent.STORE_RESTORED: "WARNING",
    LogEvent.STORE_ERA_UNREADABLE: "WARNING",
    LogEvent.VERSION_UNCONFIRMED: "WARNING",
    LogEvent.MEMBER_SUSPECTED: "WARNING",
    LogEvent.MEMBER_UNREADABLE: "WARNING",
    LogEvent.SETTINGS_REFUSED: "WARNING",
    LogEvent.VM_SUSPENDED: "WARNING",
    LogEvent.PROCESS_STOOD_STILL: "WARNING",
    LogEvent.TARGET_WISH_ODD: "WARNING",
    LogEvent.ORDER_STALE: "WARNING",
    LogEvent.STATE_UNREADABLE: "WARNING",
}


def log_event(event, **fields):
    """Write one log event at its level.

    Args:
        event (LogEvent): The event.
        **fields: Structured fields of the event; long texts and lists are shortened.
    """
    _write(event, {name: _shorten(value) for name, value in fields.items()})


def _shorten(value):
    """Return a value of a field without what is beyond the limits."""
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
        return f"{value[:MAX_FIELD_CHARACTERS]}..."
    if isinstance(value, list | tuple):
        kept = [_shorten(item) for item in value[:MAX_FIELD_ITEMS]]
        if len(value) > MAX_FIELD_ITEMS:
            kept.append(f"and {len(value) - MAX_FIELD_ITEMS} more")
        return tuple(kept) if isinstance(value, tuple) else kept
    return value


def _write(event, fields):
    level = LEVELS.get(event, "INFO")
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=int(event), event_name=event.name, **fields)
    bound.log(level, "{:03d} {} {}", int(event), event.name, text)


def log_exception(handled, error):
    """Log an unexpected exception.

    Args:
        handled (str): Event, action or request that was being processed.
        error (Exception): The exception.
    """
    trace = "".join(format_exception(error))
    fields = {"handled": _shorten(handled), "error": _shorten(repr(error))}
    # The cause is at the end of the trace.
    _write(LogEvent.PART_FAILED, {**fields, "trace": trace[-MAX_TRACE_CHARACTERS:]})


def configure_logs(log_format, sink=None):
    """Replace all log sinks by one, with text or JSON lines.

    Args:
        log_format (str): "text" or "json", from settings.
        sink (file or callable): Standard error when None.
    """
    sink = sys.stderr if sink is None else sink
    logger.remove()
    if log_format == "json":
        logger.add(sink, format=_format_json, backtrace=False, diagnose=False)
    else:
        logger.add(sink, format=TEXT_FORMAT, backtrace=False, diagnose=False)


def _format_json(record):
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        **record["extra"],
    }
    # The fields of a LogEvent contain all that its message does.
    if "event_name" not in line:
        line["message"] = record["message"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    record["extra"]["_line"] = json.dumps(line, default=str)
    # loguru formats the returned string as a template, so the line is a value in it.
    return "{extra[_line]}\n"
