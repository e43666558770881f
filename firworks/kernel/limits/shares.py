"""One daemon's share of one client account's limits."""

BURST_S = 2.0
SMALLEST_BURST_REQUESTS = 4.0
DEMAND_RISE = 0.5
DEMAND_FALL = 0.5
IDLE_DEMAND = 0.01
HIGH_USE_SHARE = 0.5


class Loan:
    """A part of a share that is lent for a limited time.

    Attributes:
        rate (float): Requests a second.
        concurrency (float): Requests in progress.
        until_s (float): When the loan of rate expires.
        hold_until_s (float): When the loan of concurrency expires; later for the
            lender, since requests admitted by the borrower may still run.
    """

    __slots__ = ("rate", "concurrency", "until_s", "hold_until_s")

    def __init__(self, rate, concurrency, until_s, hold_until_s):
        self.rate = rate
        self.concurrency = concurrency
        self.until_s = until_s
        self.hold_until_s = hold_until_s


class AccountShare:
    """Token bucket and concurrency limit of one account at this daemon.

    Args:
        account (Account): Contains the fleet-wide limits.
        daemons (int): Number of daemons that share them.
        now (float): Monotonic time in seconds.

    Attributes:
        running (int): Admitted requests in progress.
        wanted_rate (float): Smoothed rate of attempts, in requests a second.
        wanted_concurrency (float): Smoothed peak of requests in progress, with those
            rejected for lack of a slot.
        high_use_s (float): When more than ``HIGH_USE_SHARE`` of it was last in use.
    """

    def __init__(self, account, daemons, now):
        self.account = account
        self.daemons = daemons
        self.running = 0
        self.wanted_rate = 0.0
        self.wanted_concurrency = 0.0
        self.high_use_s = float("-inf")
        self._attempts = 0
        self._peak_concurrency = 0
        self._rejected_for_concurrency = 0
        self._lent = {}
        self._borrowed = {}
        self._rate = self.find_rate(now)
        self._tokens = find_depth(self._rate)
        self._refilled_s = now

    @property
    def base_rate(self):
        """This daemon's equal part of the rate in requests a second, without loans."""
        return self.account.rate_per_s / self.daemons

    @property
    def base_concurrency(self):
        """This daemon's equal part of the concurrency, without loans."""
        return self.account.concurrency / self.daemons

    @property
    def idle(self):
        """Whether there are no requests, loans or demand of the account here."""
        wanted = max(self.wanted_rate, self.wanted_concurrency)
        busy = self.running or self._lent or self._borrowed
        return not busy and wanted < IDLE_DEMAND

    def find_rate(self, now):
        """Return how many requests a second this daemon may admit, with loans."""
        lent = sum(
            max((loan.rate for loan in loans if loan.until_s > now), default=0.0)
            for loans in self._lent.values()
        )
        borrowed = sum(b.rate for b in self._borrowed.values() if b.until_s > now)
        return max(0.0, self.base_rate - lent) + borrowed

    def find_concurrency(self, now):
        """Return how many requests may be in progress here, with loans; at least 1."""
        lent = sum(
            max((ln.concurrency for ln in loans if ln.hold_until_s > now), default=0.0)
            for loans in self._lent.values()
        )
        borrowed = sum(
            b.concurrency for b in self._borrowed.values() if b.until_s > now
        )
        share = max(0.0, self.base_concurrency - lent) + borrowed
        return max(1, int(share + 1e-6))

    def refill(self, now):
        """Add the tokens accrued since the last call."""
        rate = self.find_rate(now)
        accrued = min(rate, self._rate) * (now - self._refilled_s)
        depth = find_depth(rate)
        self._tokens = min(depth, self._tokens + accrued)
        self._rate = rate
        self._refilled_s = now

    def take_token(self, now):
        """Take one token; return 0 on success, else the seconds until one accrues."""
        self._attempts += 1
        self.refill(now)
        if self._tokens < HIGH_USE_SHARE * find_depth(self._rate):
            self.high_use_s = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / max(self._rate, 1e-3)

    def has_free_slot(self, now):
        """Whether one more request may run; records the attempt for the demand."""
        slots = self.find_concurrency(now)
        free = self.running < slots
        if self.running > HIGH_USE_SHARE * slots:
            self.high_use_s = now
        if not free:
            self._rejected_for_concurrency += 1
        self._peak_concurrency = max(
            self._peak_concurrency, self.running + self._rejected_for_concurrency
        )
        return free

    def update_demand(self, period_s, now):
        """Update the demand estimate from the attempts of the last period.

        Args:
            period_s (float): Length of the period.
            now (float): Monotonic time in seconds.
        """
        self.wanted_rate = _smooth(self.wanted_rate, self._attempts / period_s)
        peak = max(self._peak_concurrency, self.running)
        self.wanted_concurrency = _smooth(self.wanted_concurrency, peak)
        self._attempts = 0
        self._peak_concurrency = self._rejected_for_concurrency = 0
        self._drop_expired(now)
        self.refill(now)

    def resize(self, account, daemons, now):
        """Apply new limits or another number of daemons."""
        self.refill(now)
        self.account = account
        self.daemons = daemons
        self.refill(now)

    def lend(self, peer, loan, now):
        """Add a loan to another daemon, which reduces this share immediately."""
        self.refill(now)
        self._lent.setdefault(peer, []).append(loan)
        self.refill(now)

    def borrow(self, peer, loan, now):
        """Apply a loan from another daemon, replacing its earlier one."""
        self.refill(now)
        self._borrowed[peer] = loan
        self.refill(now)

    def cap_borrowed(self, rate, slots, now):
        """Reduce loans to this daemon to a shortfall that is about to be published."""
        self.refill(now)
        for loan in self._borrowed.values():
            loan.rate = min(loan.rate, rate)
            loan.concurrency = min(loan.concurrency, slots)
        self.refill(now)

    def cap_lent(self, peer, rate, slots, hold_until_s, now):
        """Reduce the loans to a borrower to the shortfall that it has published.

        Excess slots return at `hold_until_s`, since requests may still run there.

        Args:
            peer (str): The borrower.
            rate (float): Its shortfall in requests a second.
            slots (float): Its shortfall in requests in progress.
            hold_until_s (float): When excess slots return; monotonic seconds.
            now (float): Monotonic time in seconds.
        """
        self.refill(now)
        for loan in self._lent.get(peer, ()):
            loan.rate = min(loan.rate, rate)
            if loan.concurrency > slots:
                loan.hold_until_s = min(loan.hold_until_s, hold_until_s)
        self.refill(now)

    def return_loans(self, peer, now):
        """Remove the loan from a daemon."""
        self.refill(now)
        self._borrowed.pop(peer, None)

    def sum_lent(self, now, excluded_peer):
        """Return the rate and concurrency lent to all daemons but one."""
        rate = concurrency = 0.0
        for peer, loans in self._lent.items():
            if peer != excluded_peer:
                rate += max((x.rate for x in loans if x.until_s > now), default=0.0)
                concurrency += max(
                    (x.concurrency for x in loans if x.hold_until_s > now), default=0.0
                )
        return rate, concurrency

    def _drop_expired(self, now):
        for peer in list(self._lent):
            kept = [loan for loan in self._lent[peer] if loan.hold_until_s > now]
            if kept:
                self._lent[peer] = kept
            else:
                del self._lent[peer]
        for peer in [p for p, b in self._borrowed.items() if b.until_s <= now]:
            del self._borrowed[peer]


def _smooth(old, new):
    """Return an exponential average with separate factors for rise and fall."""
    return old + (DEMAND_RISE if new > old else DEMAND_FALL) * (new - old)


def find_depth(rate):
    """Return the bucket depth, in requests, for a rate (requests a second).

    It has a minimum because a caller keeps its connection to one daemon, whose share
    of a small account may be below one request a second; a few requests in a row must
    still pass.
    """
    return max(SMALLEST_BURST_REQUESTS, rate * BURST_S)
