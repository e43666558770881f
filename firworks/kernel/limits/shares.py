"""One daemon's share of one client account's limits."""

BURST_S = 2.0
SMALLEST_BURST_REQUESTS = 4.0
DEMAND_RISE = 0.5
DEMAND_FALL = 0.5
IDLE_DEMAND = 0.01
HIGH_USE_SHARE = 0.5


class Loan:
    """A part of a share that is lent until some time.

    Attributes:
        rate (float): Requests a second.
        concurrency (float): Requests in progress.
        until_s (float): End of the loan of rate.
        hold_until_s (float): End of the loan of concurrency, which is later for
            the lender because admitted requests still run.
    """

    __slots__ = ("rate", "concurrency", "until_s", "hold_until_s")

    def __init__(self, rate, concurrency, until_s, hold_until_s):
        self.rate = rate
        self.concurrency = concurrency
        self.until_s = until_s
        self.hold_until_s = hold_until_s


class AccountShare:
    """Admits requests of one account within this daemon's share.

    Args:
        account (Account): Holds the fleet's limits.
        daemons (int): How many daemons share them.
        now (float): Monotonic time in seconds.

    Attributes:
        running (int): Admitted requests in progress.
        wanted_rate (float): Requests a second that callers try.
        wanted_concurrency (float): Requests in progress that callers want.
        high_use_s (float): When this share was last more than half used up.
    """

    def __init__(self, account, daemons, now):
        self.account = account
        self.daemons = daemons
        self.running = 0
        self.wanted_rate = 0.0
        self.wanted_concurrency = 0.0
        self.high_use_s = float("-inf")
        self._attempts = 0
        self._peak = 0
        self._blocked = 0
        self._lent = {}
        self._borrowed = {}
        self._rate = self.find_rate(now)
        self._tokens = find_depth(self._rate)
        self._refilled_s = now

    @property
    def base_rate(self):
        """This daemon's part of the rate, without loans."""
        return self.account.rate_per_s / self.daemons

    @property
    def base_concurrency(self):
        """This daemon's part of the concurrency, without loans."""
        return self.account.concurrency / self.daemons

    @property
    def idle(self):
        """Whether nothing about the account needs attention here."""
        wanted = max(self.wanted_rate, self.wanted_concurrency)
        busy = self.running or self._lent or self._borrowed
        return not busy and wanted < IDLE_DEMAND

    def find_rate(self, now):
        """Return the requests a second that this daemon may admit now."""
        lent = sum(
            max((loan.rate for loan in loans if loan.until_s > now), default=0.0)
            for loans in self._lent.values()
        )
        borrowed = sum(b.rate for b in self._borrowed.values() if b.until_s > now)
        return max(0.0, self.base_rate - lent) + borrowed

    def find_concurrency(self, now):
        """Return the requests that this daemon may have in progress now."""
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
        """Add the tokens earned since the last call."""
        rate = self.find_rate(now)
        earned = min(rate, self._rate) * (now - self._refilled_s)
        depth = find_depth(rate)
        self._tokens = min(depth, self._tokens + earned)
        self._rate = rate
        self._refilled_s = now

    def take(self, now):
        """Take one token; returns the seconds until there is one, 0 on success."""
        self._attempts += 1
        self.refill(now)
        if self._tokens < HIGH_USE_SHARE * find_depth(self._rate):
            self.high_use_s = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / max(self._rate, 1e-3)

    def has_room(self, now):
        """Whether one more request may be in progress."""
        places = self.find_concurrency(now)
        room = self.running < places
        if self.running > HIGH_USE_SHARE * places:
            self.high_use_s = now
        if not room:
            self._blocked += 1
        self._peak = max(self._peak, self.running + self._blocked)
        return room

    def measure(self, period_s, now):
        """Estimate what callers want from the last period's attempts."""
        self.wanted_rate = _smooth(self.wanted_rate, self._attempts / period_s)
        peak = max(self._peak, self.running)
        self.wanted_concurrency = _smooth(self.wanted_concurrency, peak)
        self._attempts = 0
        self._peak = self._blocked = 0
        self._drop_ended(now)
        self.refill(now)

    def resize(self, account, daemons, now):
        """Take over new limits or another number of daemons."""
        self.refill(now)
        self.account = account
        self.daemons = daemons
        self.refill(now)

    def lend(self, peer, loan, now):
        """Note a loan to another daemon; it lowers this share at once."""
        self.refill(now)
        self._lent.setdefault(peer, []).append(loan)
        self.refill(now)

    def borrow(self, peer, loan, now):
        """Note a loan from another daemon, which replaces its earlier one."""
        self.refill(now)
        self._borrowed[peer] = loan
        self.refill(now)

    def cap_borrowed(self, rate, places, now):
        """Give back what exceeds a need that the lenders are about to learn."""
        self.refill(now)
        for loan in self._borrowed.values():
            loan.rate = min(loan.rate, rate)
            loan.concurrency = min(loan.concurrency, places)
        self.refill(now)

    def cap_lent(self, peer, rate, places, hold_until_s, now):
        """Take back what exceeds the need that a borrower has stated.

        Lent places come back at `hold_until_s`, for requests may still run there.
        """
        self.refill(now)
        for loan in self._lent.get(peer, ()):
            loan.rate = min(loan.rate, rate)
            if loan.concurrency > places:
                loan.hold_until_s = min(loan.hold_until_s, hold_until_s)
        self.refill(now)

    def return_loans(self, peer, now):
        """Drop what was borrowed from a daemon."""
        self.refill(now)
        self._borrowed.pop(peer, None)

    def sum_lent(self, now, but):
        """Return rate and concurrency lent to all daemons but one."""
        rate = concurrency = 0.0
        for peer, loans in self._lent.items():
            if peer != but:
                rate += max((x.rate for x in loans if x.until_s > now), default=0.0)
                concurrency += max(
                    (x.concurrency for x in loans if x.hold_until_s > now), default=0.0
                )
        return rate, concurrency

    def _drop_ended(self, now):
        for peer in list(self._lent):
            kept = [loan for loan in self._lent[peer] if loan.hold_until_s > now]
            if kept:
                self._lent[peer] = kept
            else:
                del self._lent[peer]
        for peer in [p for p, b in self._borrowed.items() if b.until_s <= now]:
            del self._borrowed[peer]


def _smooth(old, new):
    """Follow a measured value, faster upward than downward."""
    return old + (DEMAND_RISE if new > old else DEMAND_FALL) * (new - old)


def find_depth(rate):
    """Return how many requests may come at once at a rate (requests a second).

    A caller keeps its connection to one daemon, whose share of a small account may
    be below one request a second; a few requests in a row are no burst.
    """
    return max(SMALLEST_BURST_REQUESTS, rate * BURST_S)
