"""Fleet-wide rate and concurrency limits of client accounts.

Every daemon owns an equal part of each limit, its base share, and lends what it does
not use to neighbours that need more. The lender's share shrinks before the borrower's
grows, so the shares never add up to more than the limit. A loan expires by itself. The
borrower counts its duration from when it published the demand, the lender from when
the demand arrived, so no clocks are compared and the borrower stops first. A
partitioned daemon keeps its base share.
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
SLOT_HOLD_S = 8.0  # after a loan, while the borrower's requests may still run
RESERVE_SHARE = 0.25
DEMAND_HEADROOM = 1.2  # loans cover this multiple of the demand
HIGH_USE_PERIOD_S = 3.0
MIN_DEMAND_RATE = 1.0
MIN_DEMAND_SLOTS = 2.0
ENTRY_LIMIT = 32
HISTORY_LIMIT = 32
CONCURRENCY_RETRY_S = 1.0


class AdmissionVerdict(Struct):
    """Whether a request is admitted.

    Attributes:
        code (Code or None): Reason for the rejection; None if admitted.
        retry_after_s (float): Delay in seconds before the caller may retry.
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
        self._accounts_by_lender = {}
        self._daemons = CELL_LIMIT
        self._listed = None
        self._incarnations = {}
        self._demands = {}
        self._lends_to = {}
        self._published_s = {}
        self._sequence = 0
        self._had_demands = False
        self._published_demands = {}
        self._last_update_s = 0.0

    @singledispatchmethod
    def handle(self, event, now):
        """Handle one event and return a list of actions and signals."""
        return []

    def try_admit(self, account, now):
        """Admit or reject a request; one of an unknown account is admitted.

        Args:
            account (str): The client account.
            now (float): Monotonic time in seconds.

        Returns:
            AdmissionVerdict: For an admitted request the caller must call `finish`.
        """
        share = self._shares.get(account)
        if share is None:
            return ADMITTED
        self._active[account] = share
        if not share.has_free_slot(now):
            return AdmissionVerdict(Code.CONCURRENCY_LIMITED, CONCURRENCY_RETRY_S)
        wait_s = share.take_token(now)
        if wait_s:
            return AdmissionVerdict(Code.RATE_LIMITED, wait_s)
        share.running += 1
        return ADMITTED

    def finish(self, account, now):
        """Release the concurrency slot of an admitted request that has ended."""
        share = self._shares.get(account)
        if share is not None and share.running:
            share.running -= 1

    def find_share(self, account, now):
        """Return this daemon's rate and concurrency for an account, with loans."""
        share = self._shares[account]
        return share.find_rate(now), share.find_concurrency(now)

    def count_daemons(self):
        """Return the number of daemons that the limits are divided by."""
        if self._listed is None:
            return max(CELL_LIMIT, 1 + len(self._incarnations))
        return 1 + len({**self._listed, **self._incarnations})

    @handle.register
    def _apply_configuration(self, event: ConfigurationAccepted, now):
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
    def _apply_vms(self, event: VmsListed, now):
        entries = (vm.name for vm in event.vms if vm.role == "entry")
        self._listed = dict.fromkeys(name for name in entries if name != self.name)
        return self._resize(now)

    @handle.register
    def _handle_member(self, event: MemberChanged, now):
        before = self._incarnations.pop(event.member, "")
        if event.status != MEMBER_DEAD:
            self._incarnations[event.member] = event.incarnation
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
    def _handle_fact(self, event: FactLearned, now):
        if event.topic == TOPIC_DEMAND and isinstance(event.value, Demands):
            self._demands[event.origin] = PeerDemands(event.value, now)
            self._reclaim_loans(event.origin, now)
        elif event.topic == TOPIC_LOAN and isinstance(event.value, Loans):
            if event.key == self.name:
                self._apply_loans(event.origin, event.value, now)
        return []

    def _reclaim_loans(self, peer, now):
        """Reclaim what exceeds the demand that a borrower has published last."""
        wanted = self._demands[peer].by_account
        for name, share in self._active.items():
            rate, slots = _compute_shortfall(share, wanted.get(name))
            share.cap_lent(peer, rate, slots, now + SLOT_HOLD_S, now)

    def _apply_loans(self, lender, loans, now):
        """Apply another daemon's loans, timed from when the demand was published."""
        until_s = self._published_s.get(loans.sequence, float("-inf")) + LOAN_DURATION_S
        usable = until_s > now
        entries = [e for e in loans.entries if usable and e.account in self._shares]
        for entry in entries:
            share = self._active[entry.account] = self._shares[entry.account]
            max_rate, max_slots = self._compute_min_shortfall(share, loans.sequence)
            rate = min(max(entry.rate, 0.0), max_rate)
            concurrency = min(max(entry.concurrency, 0.0), max_slots)
            share.borrow(lender, Loan(rate, concurrency, until_s, until_s), now)
        self._return_loans(lender, [entry.account for entry in entries], now)

    def _compute_min_shortfall(self, share, sequence):
        """Return the minimum shortfall published since a sequence.

        A lender reclaims what exceeds a published demand and may have received any of
        those since. A loan granted before is therefore valid only up to their minimum,
        even if more is needed again when the loan arrives.
        """
        name = share.account.name
        sequences = range(sequence, self._sequence + 1)
        shortfalls = [
            _compute_shortfall(share, self._published_demands.get(n, {}).get(name))
            for n in sequences
        ]
        rates, slots = zip(*shortfalls, strict=True)
        return min(rates), min(slots)

    def _return_loans(self, lender, kept, now):
        """Remove the loans from a daemon, except for the accounts in `kept`."""
        for name in self._accounts_by_lender.pop(lender, ()):
            if name in self._shares and name not in kept:
                self._shares[name].return_loans(lender, now)
        if kept:
            self._accounts_by_lender[lender] = tuple(kept)

    @handle.register
    def _update(self, event: Tick, now):
        if now - self._last_update_s < PERIOD_S:
            return []
        period_s = min(now - self._last_update_s, 2 * PERIOD_S)
        self._last_update_s = now
        for name, share in list(self._active.items()):
            share.update_demand(period_s, now)
            if share.idle:
                del self._active[name]
        for peer in [
            p for p, d in self._demands.items() if now - d.arrived_s > LOAN_DURATION_S
        ]:
            del self._demands[peer]
        return self._publish_demands(now) + self._lend_all(now)

    def _publish_demands(self, now):
        last_s = self._published_s.get(self._sequence, float("-inf"))
        if now - last_s < DEMAND_PERIOD_S:
            return []
        entries = [
            Demand(name, round(s.wanted_rate, 2), round(s.wanted_concurrency, 1))
            for name, s in self._active.items()
            if now - s.high_use_s < HIGH_USE_PERIOD_S or _needs_loans(s)
        ]
        if not entries and not self._had_demands:
            return []
        entries.sort(key=lambda d: -_compute_need_ratio(self._shares[d.account]))
        self._had_demands = bool(entries)
        self._sequence += 1
        self._published_s[self._sequence] = now
        self._published_s.pop(self._sequence - HISTORY_LIMIT, None)
        demands = Demands(self._sequence, tuple(entries[:ENTRY_LIMIT]))
        wanted = {entry.account: entry for entry in demands.entries}
        self._published_demands[self._sequence] = wanted
        self._published_demands.pop(self._sequence - HISTORY_LIMIT, None)
        for name, share in self._active.items():
            share.cap_borrowed(*_compute_shortfall(share, wanted.get(name)), now)
        return [FactChanged(TOPIC_DEMAND, "", demands, LOAN_DURATION_S)]

    def _lend_all(self, now):
        grants = {}
        names = {name: None for p in self._demands.values() for name in p.by_account}
        for name in names:
            if name in self._shares:
                self._lend(self._shares[name], grants, now)
        results = []
        for peer in list(dict.fromkeys((*grants, *self._lends_to))):
            entries = tuple(grants.get(peer, ()))
            if entries or self._lends_to.get(peer):
                sequence = self._demands[peer].sequence if peer in self._demands else 0
                loans = Loans(sequence, entries)
                results.append(FactChanged(TOPIC_LOAN, peer, loans, LOAN_DURATION_S))
            self._lends_to[peer] = bool(entries)
        self._lends_to = {peer: True for peer, lent in self._lends_to.items() if lent}
        return results

    def _lend(self, share, grants, now):
        """Lend parts of one account's share to the daemons with a shortfall.

        Args:
            share (AccountShare): This daemon's share.
            grants (dict of str to list of Demand): Loans by borrower; extended here.
            now (float): Monotonic time in seconds.
        """
        name = share.account.name
        peers = {p: d for p, d in self._demands.items() if name in d.by_account}
        wanted = {peer: d.by_account[name] for peer, d in peers.items()}
        rates = self._grant(
            share.base_rate,
            share.wanted_rate,
            {peer: demand.rate for peer, demand in wanted.items()},
        )
        slots = self._grant(
            share.base_concurrency,
            max(share.wanted_concurrency, min(1.0, share.base_concurrency)),
            {peer: demand.concurrency for peer, demand in wanted.items()},
        )
        in_use = max(share.running, min(1.0, share.base_concurrency))
        self._active[name] = share
        for peer, demands in peers.items():
            lent_rate, lent_slots = share.sum_lent(now, excluded_peer=peer)
            rate_left = find_spare(share.base_rate, 0.0, RESERVE_SHARE) - lent_rate
            slots_left = (
                find_spare(share.base_concurrency, in_use, RESERVE_SHARE) - lent_slots
            )
            rate = round(max(0.0, min(rates[peer], rate_left)), 3)
            count = round(max(0.0, min(slots[peer], slots_left)), 3)
            if rate > 0 or count > 0:
                until_s = demands.arrived_s + LOAN_DURATION_S + LOAN_MARGIN_S
                share.lend(peer, Loan(rate, count, until_s, until_s + SLOT_HOLD_S), now)
                grants.setdefault(peer, []).append(Demand(name, rate, count))

    def _grant(self, base, own_demand, wanted):
        """Return what this daemon lends to each daemon that wants more than its base.

        Assumes that the other daemons of the cell compute the same division; each
        lends in proportion to its own spare share.

        Args:
            base (float): Base share, the same for all daemons.
            own_demand (float): Demand at this daemon.
            wanted (dict of str to float): Demand of each daemon that published one.
        """
        shortfalls = {
            p: max(0.0, DEMAND_HEADROOM * demand - base) for p, demand in wanted.items()
        }
        own_spare = find_spare(base, DEMAND_HEADROOM * own_demand, RESERVE_SHARE)
        peers_without_demand = min(self.count_daemons(), CELL_LIMIT) - 1 - len(wanted)
        spare = own_spare + max(0, peers_without_demand) * find_spare(
            base, 0.0, RESERVE_SHARE
        )
        for demand in wanted.values():
            spare += find_spare(base, DEMAND_HEADROOM * demand, RESERVE_SHARE)
        shares = divide_fairly(spare, list(shortfalls.values()))
        part = own_spare / spare if spare else 0.0
        return {p: part * g for p, g in zip(shortfalls, shares, strict=True)}


def _compute_need_ratio(share):
    """Return the ratio of an account's demand here to its base share."""
    rate = share.wanted_rate / share.base_rate
    return max(rate, share.wanted_concurrency / share.base_concurrency)


def _needs_loans(share):
    """Whether the demand is above a minimum and exceeds the base share."""
    rate, slots = share.wanted_rate, share.wanted_concurrency
    return (rate >= MIN_DEMAND_RATE and DEMAND_HEADROOM * rate > share.base_rate) or (
        slots >= MIN_DEMAND_SLOTS and DEMAND_HEADROOM * slots > share.base_concurrency
    )


def _compute_shortfall(share, demand):
    """Return rate and concurrency by which a `Demand`, or None, exceeds the base."""
    if demand is None:
        return 0.0, 0.0
    rate = max(0.0, DEMAND_HEADROOM * demand.rate - share.base_rate)
    return rate, max(0.0, DEMAND_HEADROOM * demand.concurrency - share.base_concurrency)
