"""Budgets that bound retries and hedges to shares of the traffic."""

INITIAL_TOKENS = 3.0
LARGEST_TOKENS = 20.0


class ShareBudget:
    """A token bucket filled by first attempts.

    Attributes:
        tokens (float): Extra attempts allowed now.
    """

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = INITIAL_TOKENS

    def deposit(self, share):
        """Count one first attempt; `share` (float) is the extra attempts it allows."""
        self.tokens = min(self.tokens + share, LARGEST_TOKENS)

    def spend(self):
        """Take one extra attempt; return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AttemptBudgets:
    """The retry and hedge budgets of one daemon.

    A hedge may use a retry token when retries have left more than enough; the two
    together never pass the sum of both shares.
    """

    __slots__ = ("retries", "hedges")

    RETRY_RESERVE = 2.0

    def __init__(self):
        self.retries = ShareBudget()
        self.hedges = ShareBudget()

    def deposit(self, pool):
        """Count a first attempt in `pool` (Pool)."""
        self.retries.deposit(pool.retry_share)
        self.hedges.deposit(pool.hedge_share)

    def try_withdraw_retry(self):
        """Return whether a retry is allowed now, and count it."""
        return self.retries.spend()

    def may_hedge(self):
        """Return whether a hedge would be allowed now."""
        spare = self.retries.tokens >= 1.0 + self.RETRY_RESERVE
        return self.hedges.tokens >= 1.0 or spare

    def try_withdraw_hedge(self):
        """Return whether a hedge is allowed now, and count it."""
        if self.hedges.spend():
            return True
        if self.retries.tokens >= 1.0 + self.RETRY_RESERVE:
            return self.retries.spend()
        return False
