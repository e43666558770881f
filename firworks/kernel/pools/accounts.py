"""Fair shares of client accounts in the capacity of one pool.

Load pattern: a burst, repeated requests or a hot prompt of one client account queues
more work at a pool than the pool can do. Without shares, the work of all other accounts
waits behind it, or is refused, although these accounts send no more than usual.

Each account has a level: the cost of its work in the last seconds, decayed by half
every ``HALF_LIFE_S``, divided by its weight. While work of several accounts waits, the
mean level is what each of these accounts would have in equal shares by weight. Waiting
work is ranked by the level at which it would start, in relation to the mean: the level
of its account plus the account's own work that goes before it. Work that starts below
half of the mean goes first, in steps of a factor of two, so that no account is left
behind. Work up to the mean follows, and then all work above it; in both the deadlines
decide, as an order by level alone makes more requests late.
"""

from math import frexp

from firworks.kernel.pools.share_reports import ShareReporter

# Time in which the level of an account halves; latency goals are 0.9 to 3 s. With 1 s,
# chance moved accounts above their share more often, and credit was lower by 0.007 at
# the capacity of a pool (load of Rimac, docs/design/account-shares.md). An account that
# used free capacity waits for another one that comes then for about this time.
HALF_LIFE_S = 2.0
# Levels are forgotten after this time: 2**-60 of them is left. It is the longest round
# in which each of many waiting accounts gets its turn.
MEMORY_S = 60 * HALF_LIFE_S
# Weights from outside are limited to this range.
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
DEFAULT_WEIGHT = 1.0
# Rank of work above its account's share.
OVER_RANK = 1
# Rank of work whose account has used nothing; lower than that of any other work, as the
# exponents of floats are over -1100.
LOWEST_RANK = -2000


class _Level:
    """Decayed cost of an account's work divided by its weight.

    Attributes:
        value (float): The level at the time of the last charge.
        charged_s (float): That time.
    """

    __slots__ = ("value", "charged_s")

    def __init__(self, value, charged_s):
        self.value = value
        self.charged_s = charged_s


class AccountShares:
    """Ranks the waiting work of accounts by their shares of a pool.

    Costs are in any one unit: seconds of stage calls, or tokens of an engine.

    Attributes:
        active (bool): Whether the order of work depends on accounts.
    """

    active = True

    def __init__(self):
        self._levels = {}
        self._waiting = {}
        self._swept_s = float("-inf")
        self._reporter = ShareReporter()

    def charge(self, account, weight, cost, now):
        """Add the cost of work that starts; a negative cost takes it back.

        Args:
            account (str): Name of the account; empty for requests without one.
            weight (float): Its weight.
            cost (float): Cost of the work.
            now (float): Monotonic seconds.
        """
        value = self._get_level(account, now) + cost / limit_weight(weight)
        self._levels[account] = _Level(max(0.0, value), now)
        if now >= self._swept_s + MEMORY_S:
            self._forget(now)

    def charge_call(self, pieces, cost, now):
        """Divide the cost of a call among the accounts of its pieces (list of Piece).

        Args:
            pieces (list of Piece): The pieces of the call.
            cost (float): Cost of the call; negative to take it back.
            now (float): Monotonic seconds.
        """
        each = cost / len(pieces)
        for piece in pieces:
            self.charge(piece.job.account, piece.job.weight, each, now)

    def is_over(self, account, now):
        """Return whether an account has got more than its share of late.

        A share is that among the accounts whose work waited when `order` was called
        last.
        """
        return self.rank(account, now) == OVER_RANK

    def rank(self, account, now):
        """Return the rank (int) of the next work of an account; the lowest goes first.

        It is ``OVER_RANK`` for an account above its share.
        """
        levels = {one: self._get_level(one, now) for one in self._waiting}
        mean = compute_mean(levels, self._waiting)
        return rank_level(self._get_level(account, now), mean)

    def order(self, entries, describe, now):
        """Return the entries (list) of waiting work in the order in which to start.

        Args:
            entries (list): The waiting work in the order that applies within an account
                and among accounts of the same rank.
            describe (callable): ``describe(entry)`` returns its account (str), weight
                and cost.
            now (float): Monotonic seconds.
        """
        demands = [describe(entry) for entry in entries]
        weights = self._waiting = {}
        for account, weight, _ in demands:
            if account not in weights:
                weights[account] = limit_weight(weight)
        if len(weights) < 2:
            self._reporter.observe({}, 0.0, now)
            return entries
        levels = {account: self._get_level(account, now) for account in weights}
        mean = compute_mean(levels, weights)
        self._reporter.observe(levels, mean, now)
        by_rank = {}
        for entry, (account, _, cost) in zip(entries, demands, strict=True):
            level = levels[account]
            by_rank.setdefault(rank_level(level, mean), []).append(entry)
            levels[account] = level + cost / weights[account]
        return [entry for rank in sorted(by_rank) for entry in by_rank[rank]]

    def take_report(self, now):
        """Return the `ShareReport` of the time since the last call."""
        return self._reporter.take(now)

    def _get_level(self, account, now):
        level = self._levels.get(account)
        if level is None or now >= level.charged_s + MEMORY_S:
            return 0.0
        return level.value * 2.0 ** ((level.charged_s - now) / HALF_LIFE_S)

    def _forget(self, now):
        self._swept_s = now
        limit_s = now - MEMORY_S
        self._levels = {
            account: level
            for account, level in self._levels.items()
            if level.charged_s > limit_s
        }


class UnsharedCapacity:
    """Takes the place of `AccountShares` where accounts have no shares.

    Attributes:
        active (bool): Whether the order of work depends on accounts.
    """

    active = False

    def charge(self, account, weight, cost, now):
        """Do nothing."""

    def charge_call(self, pieces, cost, now):
        """Do nothing."""

    def is_over(self, account, now):
        """Return False."""
        return False

    def rank(self, account, now):
        """Return 0."""
        return 0

    def order(self, entries, describe, now):
        """Return the entries as they are."""
        return entries

    def take_report(self, now):
        """Return None, as there is nothing to report."""


def compute_mean(levels, weights):
    """Return the mean level by weight (float); 0.0 without accounts.

    Args:
        levels (dict of str to float): Level of each account.
        weights (dict of str to float): Weight of each account.
    """
    total = sum(weights.values())
    if not total:
        return 0.0
    return sum(levels[account] * weights[account] for account in weights) / total


def rank_level(level, mean):
    """Return the rank (int) of work that starts at a level; the lowest goes first."""
    if level > mean > 0.0:
        return OVER_RANK
    if level > 0.5 * mean or mean <= 0.0:
        return 0
    if level <= 0.0:
        return LOWEST_RANK
    return frexp(level / mean)[1]


def limit_weight(weight):
    """Return a weight that is within the range of weights."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
