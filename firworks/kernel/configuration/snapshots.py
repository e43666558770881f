"""Decides when a daemon appends a snapshot: before retention ends, by few daemons."""

from firworks.kernel.configuration.records import NO_VERSION

SNAPSHOT_MAX_ENTRIES = 32
SNAPSHOT_RETENTION_SHARE = 0.125
SNAPSHOT_MAX_DELAY_S = 10.0
SNAPSHOT_BACKUP_SHARE_MIN = 1 / 64
SNAPSHOT_BACKUP_SHARE_MAX = 1 / 16


class SnapshotSchedule:
    """Delays a due snapshot at random, so that few daemons append one.

    A snapshot that another daemon appends during the delay replaces it. Daemons that
    poll the log rarely wait longer: they are the backup of those that follow it.

    Args:
        retention_s (float): How long the log retains entries.
        rng (random.Random): Draws the delays.
    """

    def __init__(self, retention_s, rng):
        self._retention_s = retention_s
        self._rng = rng
        self._append_at_s = None

    def should_append(self, state, wall_s, follows_log, now):
        """Return whether to append a snapshot now; starts the delay when one is due.

        Args:
            state (ConfigurationState): The state at the head of the log.
            wall_s (float): Wall time, in seconds.
            follows_log (callable): Returns whether this daemon polls the log often.
            now (float): Kernel time, in seconds.
        """
        if not self._is_due(state, wall_s):
            self._append_at_s = None
            return False
        if self._append_at_s is None:
            self._append_at_s = now + self._choose_delay(follows_log())
        if now < self._append_at_s:
            return False
        self._append_at_s = None
        return True

    def _is_due(self, state, wall_s):
        if state.version == NO_VERSION:
            return False
        age_s = wall_s - state.snapshot_made_s
        entries = state.position - state.snapshot_position
        due_s = self._retention_s * SNAPSHOT_RETENTION_SHARE
        return age_s >= due_s or entries >= SNAPSHOT_MAX_ENTRIES

    def _choose_delay(self, follows_log):
        earliest_s = self._retention_s * SNAPSHOT_BACKUP_SHARE_MIN
        if follows_log:
            return self._rng.uniform(0.0, min(SNAPSHOT_MAX_DELAY_S, earliest_s))
        latest_s = self._retention_s * SNAPSHOT_BACKUP_SHARE_MAX
        return self._rng.uniform(earliest_s, latest_s)
