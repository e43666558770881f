"""The settings file of a running gateway: it may change, with or without a signal."""

import os

from firworks.errors import SettingsError
from firworks.events import LogEvent, log_event
from firworks.gateway.settings import load_gateway_settings

# Settings that apply without a restart; the others are bound at the start.
RELOADED = (
    "drain_limit_s",
    "leave_limit_ms",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "seeds",
)
# The file's time stamp is read this often.
CHECK_PERIOD_S = 1.0


class SettingsFile:
    """Notices changes of the file.

    Args:
        path (str or None): The file; None for settings that never change.
        stamp (int or None): Its time stamp from before it was first read.

    Attributes:
        stamp (int or None): Its time stamp from before it was last read.
    """

    def __init__(self, path, stamp):
        self._path = path
        self.stamp = stamp
        self._checked_s = 0.0

    def has_changed(self, now):
        """Return whether the file is another one than that read last.

        Args:
            now (float): Monotonic seconds; most calls look at nothing else.
        """
        if now - self._checked_s < CHECK_PERIOD_S:
            return False
        self._checked_s = now
        return read_mtime_ns(self._path) != self.stamp

    def read(self):
        """Return the settings (GatewaySettings), or None when they are not valid."""
        if self._path is None:
            return None
        self.stamp = read_mtime_ns(self._path)
        try:
            return load_gateway_settings(self._path)
        except SettingsError as error:
            log_event(LogEvent.SETTINGS_REFUSED, error=str(error))
            return None


def apply_reloadable(settings, newer):
    """Take over what applies without a restart; return the names (list of str)."""
    changed = [
        name for name in RELOADED if getattr(newer, name) != getattr(settings, name)
    ]
    for name in changed:
        setattr(settings, name, getattr(newer, name))
    return changed


def read_mtime_ns(path):
    """Return the time stamp of a file, or None when there is none."""
    try:
        return None if path is None else os.stat(path).st_mtime_ns
    except OSError:
        return None
