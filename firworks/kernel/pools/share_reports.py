"""What operators are told about the shares of client accounts in a pool.

Load pattern: an account hovers around its share, or exceeds it for moments whenever
others happen to wait. A change is reported only after it has lasted, and for a bounded
number of accounts, so that log and metrics stay small in any load.
"""

from firworks.kernel.messages import Struct

# An account exceeds its share from this multiple of it on; less is left to chance.
EXCESS_RATIO = 1.25
# An account is short of its share below this part of it.
SHORT_RATIO = 0.5
# An excess is reported after it has lasted for this time, and its end after none has
# been seen for the second one.
EXCESS_AFTER_S = 1.0
QUIET_S = 5.0
# Observations further apart than this don't belong together: nothing waited in between.
MAX_GAP_S = 1.0
# Accounts of one pool whose excess is followed at the same time.
MAX_FOLLOWED = 16


class ShareChange(Struct):
    """An account began to exceed its share while others wait, or that ended.

    Attributes:
        account (str): Name of the account; empty for requests without one.
        exceeds (bool): Whether it began.
        ratio (float): What it got in relation to its share when last seen.
        waiting (int): Number of accounts whose work waited then.
    """

    __slots__ = ("account", "exceeds", "ratio", "waiting")


class ShareReport(Struct):
    """What happened in a pool since the last report.

    Attributes:
        changes (tuple of ShareChange): In the order in which they were noticed.
        short_s (dict of str to float): Seconds for which work of an account waited
            while the account had got less than ``SHORT_RATIO`` of its share.
    """

    __slots__ = ("changes", "short_s")


class _Excess:
    """An account that exceeds its share.

    Attributes:
        first_s (float): When that was first seen.
        last_s (float): When that was last seen.
        ratio (float): What it got in relation to its share then.
        waiting (int): Number of accounts whose work waited then.
        reported (bool): Whether its begin was reported.
    """

    __slots__ = ("first_s", "last_s", "ratio", "waiting", "reported")

    def __init__(self, now):
        self.first_s = now
        self.last_s = now
        self.ratio = 0.0
        self.waiting = 0
        self.reported = False


class ShareReporter:
    """Notices which accounts exceed their share of a pool or are short of it."""

    def __init__(self):
        self._excesses = {}
        self._short_from_s = {}
        self._short_s = {}
        self._changes = []

    def observe(self, levels, mean, now):
        """Take in the levels of the accounts whose work waits.

        Args:
            levels (dict of str to float): Level of each account; empty if the work of
                less than two accounts waits.
            mean (float): Their mean level by weight.
            now (float): Monotonic seconds.
        """
        short_from_s = {}
        for account, level in levels.items():
            if level > EXCESS_RATIO * mean:
                self._note_excess(account, level / mean, len(levels), now)
            elif level < SHORT_RATIO * mean:
                short_from_s[account] = now
                elapsed_s = now - self._short_from_s.get(account, now)
                if 0.0 < elapsed_s <= MAX_GAP_S:
                    total_s = self._short_s.get(account, 0.0) + elapsed_s
                    self._short_s[account] = total_s
        self._short_from_s = short_from_s

    def take(self, now):
        """Return the `ShareReport` of the time since the last call."""
        for account, excess in list(self._excesses.items()):
            if now >= excess.last_s + QUIET_S:
                del self._excesses[account]
                if excess.reported:
                    self._report(account, excess)
        report = ShareReport(tuple(self._changes), self._short_s)
        self._changes, self._short_s = [], {}
        return report

    def _note_excess(self, account, ratio, waiting, now):
        excess = self._excesses.get(account)
        if excess is None:
            if len(self._excesses) >= MAX_FOLLOWED:
                return
            excess = self._excesses[account] = _Excess(now)
        elif not excess.reported and now > excess.last_s + MAX_GAP_S:
            excess.first_s = now
        excess.last_s, excess.ratio, excess.waiting = now, ratio, waiting
        if not excess.reported and now >= excess.first_s + EXCESS_AFTER_S:
            excess.reported = True
            self._report(account, excess, True)

    def _report(self, account, excess, exceeds=False):
        change = ShareChange(account, exceeds, excess.ratio, excess.waiting)
        self._changes.append(change)
