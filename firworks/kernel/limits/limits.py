"""Rate and concurrency of client accounts, over the whole fleet.

Every daemon owns an equal part of each limit and lends what it does not use to
neighbours that need more; the lender's part shrinks before the borrower's grows, so
the parts never add up to more than the limit. A loan ends by itself, counted from
before the demand that it answers was sent, so no clocks are compared. A daemon that is
cut off keeps its own part.
"""

from functools import singledispatchmethod

from firworks.codes import Code
from firworks.kernel.fleet.cells import CELL_LIMIT
from firworks.kernel.fleet.events import (
    MEMBER_DEAD,
    TOPIC_DEMAND,
    TOPIC_LOAN,
    ConfigurationAccepted,
    FactChanged,
    FactLearned,
    MemberChanged,
)
from firworks.kernel.limits.lending import divide_fairly, find_spare
from firworks.kernel.limits.records import Demand, Demands, Loans, PeerDemands
from firworks.kernel.limits.shares import AccountShare, Loan
from firworks.kernel.messages import Struct, Tick, VmsListed
from firworks.kernel.node import Part

PERIOD_S = 1.0
DEMAND_PERIOD_S = 1.0
LOAN_DURATION_S = 5.0
LOAN_MARGIN_S = 0.5
HOLD_S = 8.0
RESERVE_SHARE = 0.25
DEMAND_HEADROOM = 1.2
HIGH_USE_PERIOD_S = 3.0
MIN_DEMAND_RATE = 1.0
MIN_DEMAND_SLOTS = 2.0
ENTRY_LIMIT = 32
HISTORY_LIMIT = 32
CONCURRENCY_RETRY_S = 1.0


class AdmissionVerdict(Struct):
    """Whether a request may run.

    Attributes:
        code (Code or None): Why not; None admits it.
        retry_after_s (float): When the caller may come back.
    """

    __slots__ = ("code", "retry_after_s")


ADMITTED = AdmissionVerdict(None, 0.0)


class AccountLimits(Part):
    """Admits requests within the limits of their client accounts.

    Args:
        name (str): This daemon's name.
    """

    def __init__(self, name):
        self.name = name
        self._shares = {}
        self._active = {}
        self._borrowings = {}
        self._daemons = CELL_LIMIT
        self._listed = None
        self._known = {}
        self._peers = {}
        self._lending = {}
        self._published_s = {}
        self._sequence = 0
        self._stated = False
        self._wants = {}
        self._worked_s = 0.0

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event and return a list of actions and signals."""
        return []

    def try_admit(self, account, now):
        """Admit a request or refuse it.

        Args:
            account (str): The client account.
            now (float): Monotonic time in seconds.

        Returns:
            AdmissionVerdict: An admitted request must be ended by `finish`.
        """
        share = self._shares.get(account)
        if share is None:
            return ADMITTED
        self._active[account] = share
        if not share.has_room(now):
            return AdmissionVerdict(Code.CONCURRENCY_LIMITED, CONCURRENCY_RETRY_S)
        wait_s = share.take(now)
        if wait_s:
            return AdmissionVerdict(Code.RATE_LIMITED, wait_s)
        share.running += 1
        return ADMITTED

    def finish(self, account, now):
        """Note the end of an admitted request."""
        share = self._shares.get(account)
        if share is not None and share.running:
            share.running -= 1

    def find_share(self, account, now):
        """Return this daemon's rate and concurrency of an account, with loans."""
        share = self._shares[account]
        return share.find_rate(now), share.find_concurrency(now)

    def count_daemons(self):
        """Return how many daemons the limits are divided by."""
        if self._listed is None:
            return max(CELL_LIMIT, 1 + len(self._known))
        return 1 + len({**self._listed, **self._known})

    @handle.register
    def _take_configuration(self, event: ConfigurationAccepted, now):
        accounts = event.document.accounts
        daemons = self._daemons = self.count_daemons()
        for name in [name for name in self._shares if name not in accounts]:
            del self._shares[name]
            self._active.pop(name, None)
        for name, account in accounts.items():
            if name in self._shares:
                self._shares[name].resize(account, daemons, now)
            else:
                self._shares[name] = AccountShare(account, daemons, now)
        return []

    @handle.register
    def _take_vms(self, event: VmsListed, now):
        entries = (vm.name for vm in event.vms if vm.role == "entry")
        self._listed = dict.fromkeys(name for name in entries if name != self.name)
        return self._resize(now)

    @handle.register
    def _take_member(self, event: MemberChanged, now):
        before = self._known.pop(event.member, "")
        if event.status != MEMBER_DEAD:
            self._known[event.member] = event.incarnation
        if before and before != event.incarnation:
            self._return_loans(event.member, (), now)
        return self._resize(now)

    def _resize(self, now):
        daemons = self.count_daemons()
        if daemons != self._daemons:
            self._daemons = daemons
            for share in self._shares.values():
                share.resize(share.account, daemons, now)
        return []

    @handle.register
    def _learn_fact(self, event: FactLearned, now):
        if event.topic == TOPIC_DEMAND and isinstance(event.value, Demands):
            self._peers[event.origin] = PeerDemands(event.value, now)
            self._take_back(event.origin, now)
        elif event.topic == TOPIC_LOAN and isinstance(event.value, Loans):
            if event.key == self.name:
                self._take_loans(event.origin, event.value, now)
        return []

    def _take_back(self, peer, now):
        """Take back what a borrower has stated that it no longer needs."""
        wants = self._peers[peer].by_account
        for name, share in self._active.items():
            rate, places = _find_lack(share, wants.get(name))
            share.cap_lent(peer, rate, places, now + HOLD_S, now)

    def _take_loans(self, lender, loans, now):
        """Use what another daemon lends, counted from when it was asked for."""
        until_s = self._published_s.get(loans.sequence, float("-inf")) + LOAN_DURATION_S
        usable = until_s > now
        entries = [e for e in loans.entries if usable and e.account in self._shares]
        for entry in entries:
            share = self._active[entry.account] = self._shares[entry.account]
            most_rate, most_places = self._find_least_lack(share, loans.sequence)
            rate = min(max(entry.rate, 0.0), most_rate)
            concurrency = min(max(entry.concurrency, 0.0), most_places)
            share.borrow(lender, Loan(rate, concurrency, until_s, until_s), now)
        self._return_loans(lender, [entry.account for entry in entries], now)

    def _find_least_lack(self, share, sequence):
        """Return the least need stated since a sequence; lenders may know any of it.

        A lender takes back what exceeds a stated need, so a loan that it granted
        before holds only up to the least need stated since, even if more is needed
        again when the loan arrives.
        """
        name = share.account.name
        stated = range(sequence, self._sequence + 1)
        lacks = [_find_lack(share, self._wants.get(n, {}).get(name)) for n in stated]
        rates, places = zip(*lacks, strict=True)
        return min(rates), min(places)

    def _return_loans(self, lender, kept, now):
        """Drop what was borrowed from a daemon, but for the accounts kept."""
        for name in self._borrowings.pop(lender, ()):
            if name in self._shares and name not in kept:
                self._shares[name].return_loans(lender, now)
        if kept:
            self._borrowings[lender] = tuple(kept)

    @handle.register
    def _work(self, event: Tick, now):
        if now - self._worked_s < PERIOD_S:
            return []
        period_s = min(now - self._worked_s, 2 * PERIOD_S)
        self._worked_s = now
        for name, share in list(self._active.items()):
            share.measure(period_s, now)
            if share.idle:
                del self._active[name]
        for peer in [p for p, d in self._peers.items() if now - d.arrived_s > LOAN_DURATION_S]:
            del self._peers[peer]
        return self._state_demands(now) + self._lend_all(now)

    def _state_demands(self, now):
        last_s = self._published_s.get(self._sequence, float("-inf"))
        if now - last_s < DEMAND_PERIOD_S:
            return []
        entries = [
            Demand(name, round(s.wanted_rate, 2), round(s.wanted_concurrency, 1))
            for name, s in self._active.items()
            if now - s.high_use_s < HIGH_USE_PERIOD_S or _needs_loans(s)
        ]
        if not entries and not self._stated:
            return []
        entries.sort(key=lambda d: -_find_need(self._shares[d.account]))
        self._stated = bool(entries)
        self._sequence += 1
        self._published_s[self._sequence] = now
        self._published_s.pop(self._sequence - HISTORY_LIMIT, None)
        demands = Demands(self._sequence, tuple(entries[:ENTRY_LIMIT]))
        wants = {entry.account: entry for entry in demands.entries}
        self._wants[self._sequence] = wants
        self._wants.pop(self._sequence - HISTORY_LIMIT, None)
        for name, share in self._active.items():
            share.cap_borrowed(*_find_lack(share, wants.get(name)), now)
        return [FactChanged(TOPIC_DEMAND, "", demands, LOAN_DURATION_S)]

    def _lend_all(self, now):
        grants = {}
        names = {name: None for p in self._peers.values() for name in p.by_account}
        for name in names:
            if name in self._shares:
                self._lend(self._shares[name], grants, now)
        results = []
        for peer in list(dict.fromkeys((*grants, *self._lending))):
            entries = tuple(grants.get(peer, ()))
            if entries or self._lending.get(peer):
                sequence = self._peers[peer].sequence if peer in self._peers else 0
                loans = Loans(sequence, entries)
                results.append(FactChanged(TOPIC_LOAN, peer, loans, LOAN_DURATION_S))
            self._lending[peer] = bool(entries)
        self._lending = {peer: True for peer, lent in self._lending.items() if lent}
        return results

    def _lend(self, share, grants, now):
        """Lend parts of one account's share to the daemons that lack some."""
        name = share.account.name
        peers = {p: d for p, d in self._peers.items() if name in d.by_account}
        wants = {peer: d.by_account[name] for peer, d in peers.items()}
        rates = self._grant(
            share.base_rate,
            share.wanted_rate,
            {peer: want.rate for peer, want in wants.items()},
        )
        places = self._grant(
            share.base_concurrency,
            max(share.wanted_concurrency, min(1.0, share.base_concurrency)),
            {peer: want.concurrency for peer, want in wants.items()},
        )
        in_use = max(share.running, min(1.0, share.base_concurrency))
        self._active[name] = share
        for peer, demands in peers.items():
            lent_rate, lent_places = share.sum_lent(now, but=peer)
            rate_left = find_spare(share.base_rate, 0.0, RESERVE_SHARE) - lent_rate
            places_left = (
                find_spare(share.base_concurrency, in_use, RESERVE_SHARE) - lent_places
            )
            rate = round(max(0.0, min(rates[peer], rate_left)), 3)
            count = round(max(0.0, min(places[peer], places_left)), 3)
            if rate > 0 or count > 0:
                until_s = demands.arrived_s + LOAN_DURATION_S + LOAN_MARGIN_S
                share.lend(peer, Loan(rate, count, until_s, until_s + HOLD_S), now)
                grants.setdefault(peer, []).append(Demand(name, rate, count))

    def _grant(self, base, own, wants):
        """Return what this daemon lends to each daemon that wants more than its base.

        All daemons near lend alike, in proportion to what each can spare.
        """
        lacks = {p: max(0.0, DEMAND_HEADROOM * want - base) for p, want in wants.items()}
        mine = find_spare(base, DEMAND_HEADROOM * own, RESERVE_SHARE)
        near = min(self.count_daemons(), CELL_LIMIT) - 1 - len(wants)
        spare = mine + max(0, near) * find_spare(base, 0.0, RESERVE_SHARE)
        for want in wants.values():
            spare += find_spare(base, DEMAND_HEADROOM * want, RESERVE_SHARE)
        shares = divide_fairly(spare, list(lacks.values()))
        part = mine / spare if spare else 0.0
        return {p: part * g for p, g in zip(lacks, shares, strict=True)}


def _find_need(share):
    """Return how much of its base share an account uses here, as a ratio."""
    rate = share.wanted_rate / share.base_rate
    return max(rate, share.wanted_concurrency / share.base_concurrency)


def _needs_loans(share):
    """Whether a steady demand exceeds the base share."""
    rate, places = share.wanted_rate, share.wanted_concurrency
    return (rate >= MIN_DEMAND_RATE and DEMAND_HEADROOM * rate > share.base_rate) or (
        places >= MIN_DEMAND_SLOTS and DEMAND_HEADROOM * places > share.base_concurrency
    )


def _find_lack(share, want):
    """Return rate and places that a `Demand`, or None, asks for beyond the base."""
    if want is None:
        return 0.0, 0.0
    rate = max(0.0, DEMAND_HEADROOM * want.rate - share.base_rate)
    return rate, max(0.0, DEMAND_HEADROOM * want.concurrency - share.base_concurrency)
