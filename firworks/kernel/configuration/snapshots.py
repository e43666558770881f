"""When a daemon appends a carry, so that one is made in time, and by few."""

from firworks.kernel.configuration.records import NO_VERSION

SNAPSHOT_MAX_ENTRIES = 32
SNAPSHOT_RETENTION_SHARE = 0.125
SNAPSHOT_MAX_DELAY_S = 10.0
SNAPSHOT_BACKUP_SHARE_MIN = 1 / 64
SNAPSHOT_BACKUP_SHARE_MAX = 1 / 16


class SnapshotSchedule:
    """Lets a daemon wait for a random time once a carry is due.

    Whoever reads another daemon's carry meanwhile finds that none is due any more.

    Args:
        retention_s (float): How long the log keeps entries.
        rng (random.Random): Chooses the waiting time.
    """

    def __init__(self, retention_s, rng):
        self._retention_s = retention_s
        self._rng = rng
        self._at_s = None

    def choose(self, state, wall_s, follows_log, now):
        """Return whether to append a carry of a state now.

        Args:
            state (ConfigurationState): The state at the head of the log.
            wall_s (float): The wall clock.
            follows_log (callable): Whether this daemon polls the log often.
            now (float): Kernel time.
        """
        if not self._is_due(state, wall_s):
            self._at_s = None
            return False
        if self._at_s is None:
            self._at_s = now + self._choose_delay(follows_log())
        if now < self._at_s:
            return False
        self._at_s = None
        return True

    def _is_due(self, state, wall_s):
        if state.version == NO_VERSION:
            return False
        age_s = wall_s - state.carried_s
        entries = state.position - state.snapshot_position
        due_s = self._retention_s * SNAPSHOT_RETENTION_SHARE
        return age_s >= due_s or entries >= SNAPSHOT_MAX_ENTRIES

    def _choose_delay(self, follows_log):
        earliest_s = self._retention_s * SNAPSHOT_BACKUP_SHARE_MIN
        if follows_log:
            return self._rng.uniform(0.0, min(SNAPSHOT_MAX_DELAY_S, earliest_s))
        latest_s = self._retention_s * SNAPSHOT_BACKUP_SHARE_MAX
        return self._rng.uniform(earliest_s, latest_s)
