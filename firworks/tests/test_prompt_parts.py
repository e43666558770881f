"""Tests of which engines should have prompt parts cached, and how many."""

from collections import Counter

from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools.home_domains import choose_home_domain
from firworks.kernel.pools.jobs import EngineJob
from firworks.kernel.pools.prompt_parts import (
    DEMAND_HALF_LIFE_S,
    MAX_ORDERS,
    ORDER_LENGTH,
    REUSE_S,
    EngineOrders,
    PromptParts,
)

SLOTS = 16
PARTS = ("first", "subject", "own")
TOKENS = (2520, 3780, 2890)


def make_job(name, parts=PARTS, tokens=TOKENS):
    """Return an `EngineJob`."""
    return EngineJob(name, parts, tokens, sum(tokens), 90, 1, 5.0, 9.0, (), (), ())


def make_engines(count, domains=3):
    """Return the `Target` of some engines."""
    return [
        Target(
            f"e{i}", "engine", "10.0.0.1:1", f"fd-{i % domains}", "", 16, False, 1, 0
        )
        for i in range(count)
    ]


class TestHomeDomains:
    def test_parts_are_spread_over_the_domains(self):
        domains = ["fd-1", "fd-2", "fd-3"]
        counts = Counter(choose_home_domain(f"p{i}", domains) for i in range(900))
        assert all(240 < counts[domain] < 360 for domain in domains)

    def test_the_order_of_the_domains_does_not_matter(self):
        domains = ["fd-1", "fd-2", "fd-3"]
        for number in range(50):
            part = f"p{number}"
            home = choose_home_domain(part, domains)
            assert choose_home_domain(part, domains[::-1]) == home
            others = [domain for domain in domains if domain != home]
            assert choose_home_domain(part, [others[0], home]) == home


class TestEngineOrders:
    """Requests of one first part must not all begin at the same few engines."""

    def find_first(self, engines, subjects=600):
        orders = EngineOrders()
        orders.set_engines(engines)
        return [
            orders.find(("first", f"subject-{number}", "own"))[0][0]
            for number in range(subjects)
        ]

    def test_subjects_of_one_first_part_spread_over_all_engines(self):
        counts = Counter(self.find_first(make_engines(70)))
        assert len(counts) == 70
        assert max(counts.values()) < 3 * 600 / 70

    def test_the_own_part_does_not_change_the_order(self):
        orders = EngineOrders()
        orders.set_engines(make_engines(70))
        assert orders.find(("a", "b", "c")) == orders.find(("a", "b", "d"))
        assert orders.find(("a", "b", "c")) != orders.find(("a", "x", "c"))

    def test_engines_of_the_home_domain_come_first(self):
        engines = make_engines(70)
        domains = {one.incarnation: one.failure_domain for one in engines}
        orders = EngineOrders()
        orders.set_engines(engines)
        near, far = orders.find(PARTS)
        home = choose_home_domain("subject", sorted(set(domains.values())))
        assert {domains[one] for one in near} == {home}
        assert home not in {domains[one] for one in far}
        assert len(near) == len(far) == ORDER_LENGTH

    def test_all_schedulers_have_the_same_orders(self):
        engines = make_engines(70)
        assert self.find_first(engines) == self.find_first(engines[::-1])

    def test_few_subjects_move_when_an_engine_is_gone(self):
        engines = make_engines(70)
        before, after = self.find_first(engines), self.find_first(engines[1:])
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        assert moved == before.count(engines[0].incarnation)

    def test_the_number_of_known_orders_is_bounded(self):
        orders = EngineOrders()
        orders.set_engines(make_engines(3))
        for number in range(MAX_ORDERS + 10):
            orders.find((f"p{number}", "own"))
        assert len(orders._orders) == MAX_ORDERS

    def test_a_prompt_without_parts_has_no_order(self):
        orders = EngineOrders()
        orders.set_engines(make_engines(3))
        assert orders.find(()) == ([], [])


class TestPromptParts:
    """One subject gets 28 of 100 requests of a kind, and then none."""

    DOMAINS = ("fd-0", "fd-1")

    def make_engine(self, name, domain="fd-0"):
        return Target(name, "engine", "10.0.0.1:1", domain, "", 16, False, 1, 0)

    def begin(self, parts, count, per_s, runs=False):
        """Place requests on one engine, and return when the last was placed."""
        for number in range(count):
            job = make_job(f"r{number}")
            parts.begin(job, self.make_engine("e"), 0.1, number / per_s)
            if not runs:
                parts.end(job)
        return count / per_s

    def find(self, parts, now):
        return parts.find_cached(make_job("d"), SLOTS, self.DOMAINS, now)

    def test_a_part_of_few_requests_is_wanted_by_one_engine(self):
        parts = PromptParts()
        now = self.begin(parts, 10, 0.5)
        assert parts.count_wanted("subject", SLOTS, now) == 1

    def test_demand_for_reading_raises_the_number_of_engines(self):
        parts = PromptParts()
        # 3 requests a second, each of 0.1 s, are 0.3 of an engine's time.
        now = self.begin(parts, 120, 3.0)
        assert parts.count_wanted("subject", SLOTS, now) in (3, 4)

    def test_running_requests_raise_the_number_of_engines(self):
        parts = PromptParts()
        now = self.begin(parts, 17, 1000.0, runs=True)
        later_s = now + 20 * DEMAND_HALF_LIFE_S
        assert parts.count_wanted("subject", SLOTS, later_s) == 3

    def test_a_cooled_part_is_wanted_by_one_engine(self):
        parts = PromptParts()
        now = self.begin(parts, 120, 3.0)
        later_s = now + 3 * DEMAND_HALF_LIFE_S
        assert parts.count_wanted("subject", SLOTS, later_s) == 1

    def test_tokens_are_counted_up_to_the_first_part_that_is_not_cached(self):
        parts = PromptParts()
        parts.begin(make_job("a"), self.make_engine("both"), 0.1, 0.0)
        other = make_job("b", ("first", "other", "own-b"))
        parts.begin(other, self.make_engine("first only"), 0.1, 0.0)
        apart = make_job("c", ("x", "subject", "own-c"))
        parts.begin(apart, self.make_engine("subject only"), 0.1, 0.0)
        cached = self.find(parts, 0.1)
        assert cached.depths == {("both", 1): 2, ("first only", 1): 1}
        assert cached.read_tokens == [9190, 6670, 2890]

    def test_reading_a_part_again_is_waste_only_if_enough_engines_have_it(self):
        parts = PromptParts()
        now = self.begin(parts, 120, 3.0)
        cached = self.find(parts, now)
        assert cached.wanted > 1
        assert cached.sum_wasted_tokens("fd-0") == [0, 0, 0]
        for number in range(cached.wanted):
            target = self.make_engine(f"e{number}")
            parts.begin(make_job(f"x{number}"), target, 0.0, now)
        assert self.find(parts, now).sum_wasted_tokens("fd-0") == [6300, 3780, 0]

    def test_a_first_part_is_wanted_in_each_failure_domain(self):
        # Subjects have their homes in all domains; their stage results are made there.
        parts = PromptParts()
        parts.begin(make_job("a"), self.make_engine("e"), 0.1, 0.0)
        cached = self.find(parts, 0.1)
        assert cached.sum_wasted_tokens("fd-0") == [6300, 3780, 0]
        assert cached.sum_wasted_tokens("fd-1") == [3780, 3780, 0]
        parts.begin(make_job("b"), self.make_engine("f", "fd-1"), 0.1, 0.0)
        assert self.find(parts, 0.1).sum_wasted_tokens("fd-1") == [6300, 3780, 0]
        parts.evict(("f", 1), ["first"])
        assert self.find(parts, 0.1).sum_wasted_tokens("fd-1") == [3780, 3780, 0]

    def test_reading_a_part_that_is_seldom_used_is_no_waste(self):
        parts = PromptParts()
        now = self.begin(parts, 1, 1.0) + REUSE_S
        assert self.find(parts, now).sum_wasted_tokens("fd-0") == [0, 0, 0]

    def test_evicted_parts_are_no_longer_cached(self):
        parts = PromptParts()
        job = make_job("a")
        parts.begin(job, self.make_engine("e"), 0.1, 0.0)
        parts.evict(("e", 1), ["subject", "unknown"])
        assert self.find(parts, 0.1).depths == {("e", 1): 1}
        parts.evict(("e", 1), ["first"])
        parts.end(job)
        assert not parts._parts
