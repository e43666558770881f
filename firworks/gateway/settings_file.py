"""Reloading of the settings file, on a signal or when its mtime changes."""

import os

from firworks.errors import SettingsError
from firworks.events import LogEvent, log_event
from firworks.gateway.settings import load_gateway_settings

# Settings that apply without a restart; changes of the others are ignored until then.
RELOADABLE_KEYS = (
    "drain_limit_s",
    "extra_attempts_quantile",
    "extra_attempts_share",
    "leave_limit_ms",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "stage_answer_times",
    "seeds",
)
# Interval between checks of the file's mtime.
CHECK_PERIOD_S = 1.0


class SettingsFile:
    """Detects changes of the settings file and reads it again.

    The mtime is taken before each read, so that a change made during the read counts as
    a new one.

    Args:
        path (str or None): Path of the file; None if the settings never change.
        mtime_ns (int or None): The file's mtime from before it was first read, in
            nanoseconds.

    Attributes:
        mtime_ns (int or None): The file's mtime from before it was last read.
    """

    def __init__(self, path, mtime_ns):
        self._path = path
        self.mtime_ns = mtime_ns
        self._checked_s = 0.0

    def has_changed(self, now):
        """Return whether the file's mtime differs from that of the last read.

        Args:
            now (float): Monotonic seconds. Calls within ``CHECK_PERIOD_S`` of the last
                check return False without a system call.
        """
        if now - self._checked_s < CHECK_PERIOD_S:
            return False
        self._checked_s = now
        return read_mtime_ns(self._path) != self.mtime_ns

    def read(self):
        """Read the file again.

        Returns:
            GatewaySettings or None: None without a file, or if it can't be read or is
                not valid, which is logged.
        """
        if self._path is None:
            return None
        self.mtime_ns = read_mtime_ns(self._path)
        try:
            return load_gateway_settings(self._path)
        except SettingsError as error:
            log_event(LogEvent.SETTINGS_REFUSED, error=str(error))
            return None


def apply_reloadable(settings, newer):
    """Copy changed reloadable values to the settings in use.

    Args:
        settings (GatewaySettings): The settings in use; modified in place.
        newer (GatewaySettings): The settings that were read again.

    Returns:
        list of str: Names of the changed settings.
    """
    changed = [
        name
        for name in RELOADABLE_KEYS
        if getattr(newer, name) != getattr(settings, name)
    ]
    for name in changed:
        setattr(settings, name, getattr(newer, name))
    return changed


def read_mtime_ns(path):
    """Return the mtime of a file in nanoseconds, or None if it can't be read."""
    try:
        return None if path is None else os.stat(path).st_mtime_ns
    except OSError:
        return None
