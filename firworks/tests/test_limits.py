"""Tests of account limits over the fleet."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from firworks.codes import Code
from firworks.document import Account, Document
from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.limits.lending import divide_fairly
from firworks.kernel.limits.limits import AccountLimits
from firworks.kernel.limits.shares import BURST_S, SMALLEST_BURST_REQUESTS
from firworks.kernel.messages import Tick, VmsListed
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

RATE = 90.0
PLACES = 36
ACCOUNTS = ("big", "small")


def make_document(rate=RATE, places=PLACES):
    accounts = {n: Account(n, (), rate, places) for n in ACCOUNTS}
    return ConfigurationAccepted(1, "d", Document("d", {}, {}, accounts))


def start_fleet(size=9, **options):
    fleet = VirtualFleet(
        make_vms(size), make_extra_parts=lambda d: (AccountLimits(d.name),), **options
    )
    fleet.run(3)
    for name in fleet.daemons:
        fleet.feed(name, make_document())
    return fleet


def get_limits(fleet, name):
    return fleet.daemons[name].parts[2]


def sum_shares(fleet, account):
    """The fleet's rate and concurrency of an account, at this instant."""
    shares = [
        get_limits(fleet, name).find_share(account, fleet.now) for name in fleet.daemons
    ]
    return sum(rate for rate, _ in shares), sum(places for _, places in shares)


class Callers:
    """Sends requests to daemons at even rates; each runs for some time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.credits = {}
        self.admitted = {}
        self.refused = {}
        self._running = []

    def run(self, seconds, rates, hold_s=0.1, step_s=0.05, check=lambda: None):
        """`rates` is a dict of (daemon, account) to requests a second."""
        end_s = self.fleet.now + seconds
        while self.fleet.now < end_s:
            self.fleet.run(step_s)
            now = self.fleet.now
            for limits, account, until_s in self._running:
                if until_s <= now:
                    limits.finish(account, now)
            self._running = [item for item in self._running if item[2] > now]
            for key, rate in rates.items():
                credit = self.credits.get(key, 0.0) + rate * step_s
                for _ in range(int(credit)):
                    self._ask(*key, now + hold_s)
                self.credits[key] = credit - int(credit)
            check()

    def _ask(self, name, account, until_s):
        limits = get_limits(self.fleet, name)
        verdict = limits.try_admit(account, self.fleet.now)
        key = (name, account)
        if verdict.code is None:
            self.admitted[key] = self.admitted.get(key, 0) + 1
            self._running.append((limits, account, until_s))
        else:
            assert verdict.code in (Code.RATE_LIMITED, Code.CONCURRENCY_LIMITED)
            assert verdict.retry_after_s > 0
            self.refused[key] = self.refused.get(key, 0) + 1

    def count(self, account):
        return sum(n for (_, a), n in self.admitted.items() if a == account)

    def count_running(self, account):
        return sum(1 for _, a, _ in self._running if a == account)


class TestDivision:
    @given(st.floats(0, 100), st.lists(st.floats(0, 50), min_size=1, max_size=9))
    def test_max_min_fairness(self, capacity, wants):
        grants = divide_fairly(capacity, wants)
        assert sum(grants) <= capacity + 1e-6
        assert all(0 <= g <= w + 1e-9 for g, w in zip(grants, wants, strict=True))
        spare = capacity - sum(grants)
        for grant, want in zip(grants, wants, strict=True):
            if grant < want - 1e-6:
                assert spare < 1e-6
                assert grant >= max(grants) - 1e-6


class TestAccountLimits:
    @profile(max_examples=8)
    @given(
        st.integers(0, 1000),
        st.sampled_from([0.0, 0.2]),
        st.sampled_from([4, 9, 40]),
        st.booleans(),
    )
    def test_shares_never_add_up_to_more_than_the_limit(self, seed, loss, size, split):
        fleet = start_fleet(size, seed=seed, loss=loss)
        rng = Random(seed)
        callers = Callers(fleet)
        started_s = fleet.now

        def check():
            for account in ACCOUNTS:
                rate, places = sum_shares(fleet, account)
                assert rate <= RATE * (1 + 1e-9)
                assert places <= max(PLACES, size)
                assert callers.count_running(account) <= max(PLACES, size)
                passed_s = fleet.now - started_s
                burst = BURST_S * RATE + SMALLEST_BURST_REQUESTS * size
                assert callers.count(account) <= RATE * passed_s + burst

        for _ in range(3):
            names = rng.sample(sorted(fleet.daemons), max(1, size // 4))
            rates = {(n, "big"): rng.choice([20.0, 60.0]) for n in names}
            if split:
                group = set(rng.sample(sorted(fleet.daemons), size // 2))
                fleet.blocked = lambda a, b, g=group: (a in g) != (b in g)
            callers.run(
                6, rates, hold_s=rng.choice([0.1, 3.0]), step_s=0.2, check=check
            )

    @pytest.mark.parametrize("seed", [1, 3, 6, 7, 8])
    def test_shares_stay_below_the_limit_while_demand_fluctuates(self, seed):
        fleet = start_fleet(9, seed=seed)
        rng = Random(seed)
        hot = rng.sample(sorted(fleet.daemons), 3)
        callers = Callers(fleet)

        def check():
            rate, places = sum_shares(fleet, "big")
            assert rate <= RATE * (1 + 1e-9)
            assert max(places, callers.count_running("big")) <= PLACES

        for _ in range(30):
            rates = {(n, "big"): rng.choice([0.0, 9.0, 15.0, 25.0]) for n in hot}
            span_s = rng.choice([0.3, 1.0])
            hold_s = rng.choice([0.02, 2.0])
            callers.run(span_s, rates, hold_s=hold_s, step_s=0.1, check=check)

    def test_shares_follow_demand(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        callers.run(10, {("vm-001", "big"): 60.0})
        callers.admitted.clear()
        callers.run(5, {("vm-001", "big"): 60.0})
        assert callers.count("big") >= 5 * 50
        callers.run(20, {("vm-002", "big"): 60.0})
        callers.admitted.clear()
        callers.run(5, {("vm-002", "big"): 60.0})
        assert callers.count("big") >= 5 * 50

    def test_equal_demands_get_equal_shares(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        rates = {(name, "big"): 60.0 for name in ("vm-001", "vm-002", "vm-003")}
        callers.run(10, rates)
        callers.admitted.clear()
        callers.run(10, rates)
        counts = list(callers.admitted.values())
        assert max(counts) <= 1.15 * min(counts)

    def test_a_burst_of_one_account_does_not_limit_another(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        burst = {(name, "big"): 200.0 for name in fleet.daemons}
        due = RATE / 9
        callers.run(10, {**burst, ("vm-001", "small"): 0.8 * due})
        assert callers.refused.get(("vm-001", "small"), 0) == 0

    def test_a_lender_reclaims_its_share_when_it_needs_it(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        hot = {("vm-001", "big"): 80.0}
        callers.run(10, hot)
        callers.run(15, {**hot, ("vm-002", "big"): 9.0})
        callers.admitted.clear()
        callers.run(10, {**hot, ("vm-002", "big"): 9.0})
        assert callers.admitted["vm-002", "big"] >= 0.85 * 90

    def test_a_partitioned_daemon_keeps_its_base_share(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        fleet.blocked = lambda a, b: "vm-001" in (a, b)
        callers.run(20, {("vm-002", "big"): 80.0})
        rate, places = get_limits(fleet, "vm-001").find_share("big", fleet.now)
        assert rate == pytest.approx(RATE / 9)
        assert places == PLACES // 9

    def test_a_restarted_lender_does_not_raise_the_total_above_the_limit(self):
        fleet = start_fleet()
        callers = Callers(fleet)
        callers.run(8, {("vm-001", "big"): 80.0})
        fleet.kill("vm-002")
        fleet.start(fleet.listed["vm-002"])
        fleet.feed("vm-002", make_document())
        fleet.run(2)
        assert sum_shares(fleet, "big")[0] <= RATE * (1 + 1e-9)

    def test_limits_are_divided_again_when_the_fleet_size_changes(self):
        limits = AccountLimits("vm-000")
        limits.handle(make_document(), 0.0)
        for size in (2, 9, 3):
            limits.handle(VmsListed(tuple(make_vms(size))), 0.0)
            limits.handle(Tick(0.0), 0.0)
            assert limits.find_share("big", 0.0) == (RATE / size, PLACES // size)

    def test_unknown_accounts_are_admitted_and_finish_is_harmless(self):
        limits = AccountLimits("vm-000")
        assert limits.try_admit("none", 0.0).code is None
        limits.finish("none", 0.0)

    def test_concurrency_and_rate_are_limited_separately(self):
        limits = AccountLimits("vm-000")
        limits.handle(VmsListed(tuple(make_vms(1))), 0.0)
        limits.handle(make_document(rate=2.0, places=2), 0.0)
        codes = [limits.try_admit("big", 0.0).code for _ in range(3)]
        assert codes == [None, None, Code.CONCURRENCY_LIMITED]
        limits.finish("big", 0.0)
        for _ in range(2):
            assert limits.try_admit("big", 0.0).code is None
            limits.finish("big", 0.0)
        assert limits.try_admit("big", 0.0).code == Code.RATE_LIMITED

    def test_small_accounts_may_send_a_few_requests_in_a_row(self):
        limits = AccountLimits("vm-000")
        limits.handle(VmsListed(tuple(make_vms(18))), 0.0)
        limits.handle(make_document(rate=4.0), 0.0)
        codes = [limits.try_admit("big", 0.0).code for _ in range(2)]
        assert codes == [None, None]
