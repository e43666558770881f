"""Token budgets that limit retries and hedges to shares of the traffic."""

INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0


class ShareBudget:
    """A token bucket that first attempts fill.

    Args:
        initial (float): Extra attempts allowed before any first one.
        maximum (float): Most extra attempts that are saved up.

    Attributes:
        tokens (float): Extra attempts allowed now.
    """

    __slots__ = ("tokens", "_maximum")

    def __init__(self, initial=INITIAL_TOKENS, maximum=MAX_TOKENS):
        self.tokens = initial
        self._maximum = maximum

    def deposit(self, share):
        """Record a first attempt, which adds `share` (float) tokens."""
        self.tokens = min(self.tokens + share, self._maximum)

    def try_withdraw(self):
        """Withdraw a token for an extra attempt; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AttemptBudgets:
    """The retry and hedge budgets of one daemon.

    A hedge may use a retry token if `RETRY_RESERVE` tokens then remain for retries.
    Retries and hedges together never exceed the sum of both shares.
    """

    __slots__ = ("retries", "hedges")

    RETRY_RESERVE = 2.0

    def __init__(self):
        self.retries = ShareBudget()
        self.hedges = ShareBudget()

    def deposit(self, pool):
        """Record a first attempt in `pool` (Pool)."""
        self.retries.deposit(pool.retry_share)
        self.hedges.deposit(pool.hedge_share)

    def try_withdraw_retry(self):
        """Withdraw a token for a retry; return whether the retry is allowed."""
        return self.retries.try_withdraw()

    def may_hedge(self):
        """Return whether a hedge would be allowed now; withdraws nothing."""
        spare = self.retries.tokens >= 1.0 + self.RETRY_RESERVE
        return self.hedges.tokens >= 1.0 or spare

    def try_withdraw_hedge(self):
        """Withdraw a token for a hedge; return whether the hedge is allowed."""
        if self.hedges.try_withdraw():
            return True
        if self.retries.tokens >= 1.0 + self.RETRY_RESERVE:
            return self.retries.try_withdraw()
        return False
