"""Tests of the forwarding kernel: admission, discovery, retries, balancing, readers."""

import json
from random import Random

import pytest

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.forwarding.admission import admit, choose_service
from firworks.kernel.forwarding.balancer import Balancer
from firworks.kernel.forwarding.configuration import ConfigurationHolder
from firworks.kernel.forwarding.directory import LAPSE_GRACE_S, Target, TargetDirectory
from firworks.kernel.forwarding.event_stream import EventSplitter
from firworks.kernel.forwarding.news import PeerQueryPolicy, digest_targets
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    FAILED,
    INPUTS_GONE,
    NOT_RUN,
    AttemptError,
    Progress,
)
from firworks.kernel.forwarding.readers import (
    FOLLOWERS_PER_READER,
    FRESH_SHARE,
    INITIAL_BACKOFF_S,
    SILENCE_SHARE,
    SUBSCRIPTION_TTL_S,
    ReaderSelector,
)
from firworks.kernel.forwarding.requests import CallerRequest
from firworks.kernel.forwarding.retry_budget import SAFETY_FACTOR, RetryBudget
from firworks.kernel.forwarding.suspension import (
    SUSPENSION_THRESHOLD_S,
    SuspensionDetector,
)
from firworks.kernel.pools.messages import MemberEntry
from firworks.kernel.pools.roster import Roster
from firworks.platform.configuration import decode_configuration
from firworks.tests.gateway_testbed import HOST, KEY, make_configuration, make_route


def make_target(target_id, service="loans", domain="fd-1", leaving=False):
    """Return a `Target`."""
    address = f"10.0.0.{sum(target_id.encode()) % 250}:80"
    return Target(target_id, service, address, domain, "v1", 4, leaving, 0, 0.0)


def make_request(path, host=HOST, key=KEY, caller_timeout_s=None, request_id="r"):
    """Return a `CallerRequest`."""
    return CallerRequest(
        request_id, "GET", host, path, key, caller_timeout_s, None, None, (), ""
    )


def make_decoded(**changes):
    """Return a `Configuration`."""
    return decode_configuration(json.dumps(make_configuration(**changes)).encode())


class TestRoutes:
    ROUTES = [
        make_route("all", "loans", **{"path-prefix": "/"}),
        make_route("deep", "loans", **{"path-prefix": "/a/b/"}),
        make_route("shallow", "loans", **{"path-prefix": "/a/"}),
    ]

    @pytest.mark.parametrize(
        ("path", "name"),
        [
            ("/a/b/c", "deep"),
            ("/a/b/", "deep"),
            ("/a/b", "shallow"),
            ("/a/bc/", "shallow"),
            ("/x", "all"),
        ],
    )
    def test_the_longest_prefix_wins(self, path, name):
        found = make_decoded(routes=self.ROUTES).find_route(HOST, path)
        assert found.name == name

    def test_another_host_has_no_route(self):
        configuration = make_decoded(routes=self.ROUTES)
        assert configuration.find_route("other.example", "/a/") is None


class TestVersions:
    def test_version_never_decreases(self):
        holder = ConfigurationHolder()
        applied = [
            holder.apply_if_newer(make_decoded(version=version))
            for version in (3, 2, 3, 9, 4)
        ]
        assert applied == [True, False, False, True, False]
        assert holder.current.version == 9


class TestAdmission:
    def test_route_bounds_the_callers_timeout(self):
        configuration = make_decoded()
        for caller_timeout_s, deadline_s in (
            (1.0, 101.0),
            (60.0, 104.0),
            (None, 104.0),
        ):
            request = make_request("/stock/a", caller_timeout_s=caller_timeout_s)
            assert admit(request, configuration, 100.0).deadline_s == deadline_s

    @pytest.mark.parametrize(
        ("kind", "goal_s", "gap_s", "first_byte_deadline_s"),
        [
            ("streaming", 0.9, 0.25, 103.6),
            ("streaming", 0.2, 0.1, 102.0),
            ("streaming", 0.2, 0.4, 103.2),
            ("streaming", 3.0, 0.4, 104.0),
            ("idempotent", 0.2, 0.0, 104.0),
        ],
    )
    def test_first_byte_deadline_of_streams(
        self, kind, goal_s, gap_s, first_byte_deadline_s
    ):
        times = {"goal-ms": goal_s * 1000, "gap-aim-ms": gap_s * 1000}
        route = make_route("rules", "loans", kind, **times)
        request = make_request("/rules/a")
        admitted = admit(request, make_decoded(routes=[route]), 100.0)
        assert admitted.first_byte_deadline_s == pytest.approx(first_byte_deadline_s)
        assert admitted.deadline_s == 104.0

    def test_account_priority_overrides_route_priority(self):
        tenants = [{"name": "club", "api-keys": [KEY], "priority": 0}]
        admitted = admit(make_request("/stock/a"), make_decoded(tenants=tenants), 0.0)
        assert (admitted.priority, admitted.account.name) == (0, "club")

    @pytest.mark.parametrize(
        ("request_", "code"),
        [
            (make_request("/none/a"), Code.UNKNOWN_PIPELINE),
            (make_request("/stock/a", key="x"), Code.UNAUTHENTICATED),
            (make_request("/stock/a", request_id=""), Code.MALFORMED_REQUEST),
        ],
    )
    def test_invalid_requests_are_rejected(self, request_, code):
        with pytest.raises(RequestError) as caught:
            admit(request_, make_decoded(), 0.0)
        assert caught.value.code == code

    def test_requests_without_a_configuration_get_503(self):
        with pytest.raises(RequestError) as caught:
            admit(make_request("/stock/a"), None, 0.0)
        assert caught.value.code.http_status == 503

    def test_services_are_chosen_by_weight(self):
        split = [
            {"service": "loans", "weight": 90},
            {"service": "engines", "weight": 10},
        ]
        routes = [make_route("s", "loans", **{"traffic-split": split})]
        route = make_decoded(routes=routes).routes[0]
        names = [choose_service(route, f"r{number}") for number in range(1000)]
        assert 60 < names.count("engines") < 140
        assert names == [choose_service(route, f"r{number}") for number in range(1000)]


class TestDirectory:
    def test_announced_leaving_outlasts_the_entry(self):
        directory = TargetDirectory()
        target = make_target("a")
        assert directory.mark_leaving(target.incarnation)
        assert not directory.mark_leaving(target.incarnation)
        directory.put(target)
        assert directory.find("a") is None
        directory.remove("a", 1.0)
        directory.put(target)
        assert directory.get_usable("loans") == ()
        directory.put(target.replace(born_ms=9))
        assert directory.find("a").born_ms == 9

    def test_a_leaving_target_is_not_usable(self):
        directory = TargetDirectory()
        directory.put(make_target("a"))
        directory.put(make_target("b"))
        directory.put(make_target("a", leaving=True))
        assert [t.target_id for t in directory.get_usable("loans")] == ["b"]
        assert directory.find("a") is None

    def test_entry_removed_without_an_outage_removes_its_target(self):
        directory = TargetDirectory()
        directory.put(make_target("a"))
        assert directory.remove("a", 10.0)
        assert not directory.get_usable("loans")

    def test_entry_expired_in_an_outage_is_kept_for_the_grace_time(self):
        directory = TargetDirectory()
        for name in ("back", "gone", "left"):
            directory.put(make_target(name))
        directory.record_outage(10.0)
        for name in ("back", "gone"):
            assert not directory.remove(name, 11.0)
        directory.put(make_target("left", leaving=True))
        assert directory.remove("left", 11.5)
        assert directory.expire(60.0) == []
        directory.record_recovery(60.0)
        directory.put(make_target("back"))
        assert directory.expire(60.0 + LAPSE_GRACE_S - 0.1) == []
        assert directory.expire(60.0 + LAPSE_GRACE_S) == ["gone"]
        assert [t.target_id for t in directory.get_usable("loans")] == ["back"]

    def test_undecodable_entry_in_a_listing_keeps_its_target(self):
        directory = TargetDirectory()
        directory.put(make_target("a"))
        directory.put(make_target("b"))
        gone = directory.replace_all([make_target("c")], ["a"], 5.0)
        assert gone == ["b"]
        names = {t.target_id for t in directory.get_usable("loans")}
        assert names == {"a", "c"}


class TestOutcomes:
    def judge(self, kinds, repeatable, max_attempts=2, left_s=1.0, within_budget=True):
        progress = Progress(repeatable, max_attempts)
        for kind, sent in kinds:
            failure = AttemptError(kind, sent, "")
            progress.record(failure)
        return progress.judge(failure, left_s, within_budget)

    @pytest.mark.parametrize(
        ("kinds", "repeatable", "retry", "code"),
        [
            ([(NOT_RUN, False)], False, True, Code.OK),
            ([(NOT_RUN, True)], False, True, Code.OK),
            ([(BROKEN, True)], False, False, Code.TARGET_FAILED),
            ([(BROKEN, True)], True, True, Code.OK),
            ([(FAILED, True)], False, False, Code.TARGET_FAILED),
            ([(NOT_RUN, True), (NOT_RUN, True)], True, False, Code.OVERLOADED),
            ([(BROKEN, True), (NOT_RUN, True)], True, False, Code.TARGET_FAILED),
            ([(BROKEN, True), (NOT_RUN, False)], False, False, Code.TARGET_FAILED),
        ],
    )
    def test_retry_decision(self, kinds, repeatable, retry, code):
        decision = self.judge(kinds, repeatable)
        assert (decision.retry, decision.code) == (retry, code)

    @pytest.mark.parametrize(
        ("kind", "sent", "blamed"),
        [
            (NOT_RUN, False, True),
            (NOT_RUN, True, False),
            (INPUTS_GONE, True, False),
            (BROKEN, True, True),
            (FAILED, True, True),
        ],
    )
    def test_which_failures_blame_the_target(self, kind, sent, blamed):
        assert AttemptError(kind, sent, "").blames_target == blamed

    def test_no_retry_without_time_or_budget(self):
        assert not self.judge([(NOT_RUN, False)], True, left_s=0.01).retry
        assert not self.judge([(BROKEN, True)], True, within_budget=False).retry

    def test_retryable_status_only_if_the_request_did_not_run(self):
        for kinds in ([(BROKEN, True)], [(FAILED, True)], [(BROKEN, True)] * 3):
            assert self.judge(kinds, False).code.http_status not in (408, 421, 429, 503)


class TestRetryBudget:
    def test_retries_stay_within_a_share_of_the_requests(self):
        budget = RetryBudget(0.2, 126.0, 10.0)
        budget.set_members(18)
        allowed = 0
        for step in range(2000):
            now = step * 0.01
            budget.record_request("loans", now)
            allowed += budget.try_acquire("loans", now)
        limit = SAFETY_FACTOR * (0.2 * 1000 + 126 / 18)
        assert allowed <= 2 * limit + 1

    def test_idle_daemon_uses_only_its_part_of_the_allowance(self):
        budget = RetryBudget(0.2, 126.0, 10.0)
        budget.set_members(18)
        assert sum(budget.try_acquire("loans", 1.0) for _ in range(50)) == 4


class TestEventStream:
    def test_event_is_buffered_until_complete(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n") == b""
        assert splitter.has_partial_event and splitter.last_id is None
        assert splitter.feed(b"\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.last_id == "1"
        assert splitter.feed(b"ta: b\r\n\r\n") == b"id: 2\ndata: b\r\n\r\n"
        assert (splitter.last_id, splitter.has_partial_event) == ("2", False)

    def test_chunking_does_not_change_the_events(self):
        data = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(20))
        rng = Random(5)
        for _ in range(50):
            splitter, received, remaining = EventSplitter(), b"", data
            while remaining:
                size = rng.randint(1, 30)
                received += splitter.feed(remaining[:size])
                remaining = remaining[size:]
            assert (received, splitter.last_id, splitter.has_partial_event) == (
                data,
                "19",
                False,
            )


class TestBalancer:
    def test_work_is_spread_and_failures_are_avoided(self):
        balancer = Balancer("fd-1", Random(1))
        targets = [make_target(name) for name in "abc"]
        counts = dict.fromkeys("abc", 0)
        for step in range(300):
            now = step * 0.05
            target = balancer.choose(targets, set(), now)
            balancer.begin(target)
            counts[target.target_id] += 1
            balancer.end(target, target.target_id == "b", 0.1, now)
        assert counts["b"] < 0.1 * 300
        assert abs(counts["a"] - counts["c"]) < 60

    def test_a_target_that_had_the_request_is_left_out(self):
        balancer = Balancer("fd-1", Random(1))
        targets = [make_target("a"), make_target("b")]
        excluded = {targets[0].incarnation}
        assert balancer.choose(targets, excluded, 0.0) is targets[1]
        assert balancer.choose(targets[:1], excluded, 0.0) is None


class TestPeerQueryPolicy:
    def make(self, names=(), seeds=()):
        roster = Roster(MemberEntry("own", "own.1", "10.0.0.1:1", "fd-1", 1.0))
        for name in names:
            roster.put(MemberEntry(name, f"{name}.1", "10.0.0.2:1", "fd-1", 1.0))
        return roster, PeerQueryPolicy(roster, seeds, Random(1))

    def test_peers_are_queried_only_while_the_store_is_unavailable(self):
        _, policy = self.make(names="abcdef")
        assert policy.choose_peers(1.0) == []
        policy.record_store_status("topic", False)
        assert len(policy.choose_peers(2.0)) == 3
        assert policy.choose_peers(2.1) == []
        policy.record_store_status("topic", True)
        assert policy.choose_peers(9.0) == []

    def test_suspected_members_are_queried_last_and_seeds_without_members(self):
        roster, policy = self.make(names="ab", seeds=["any/10.0.0.9:1"])
        policy.record_store_status("topic", False)
        roster.suspect("a")
        assert policy.choose_peers(1.0) == ["b"]
        _, isolated = self.make(seeds=["any/10.0.0.9:1"])
        isolated.record_store_status("topic", False)
        assert isolated.choose_peers(1.0) == ["any/10.0.0.9:1"]

    def test_digest_depends_on_the_targets(self):
        a, b = make_target("a"), make_target("b")
        assert digest_targets([a, b]) == digest_targets([b, a])
        assert digest_targets([a]) != digest_targets([make_target("a", leaving=True)])


class TestSuspensionDetector:
    def test_boot_time_without_monotonic_time_is_a_suspension(self):
        detector = SuspensionDetector()
        assert detector.measure(100.0, 900.0) == 0.0
        assert detector.measure(100.1, 900.1) == 0.0
        assert detector.measure(100.2, 905.2) == pytest.approx(5.0)
        assert detector.measure(100.3, 905.3) == 0.0

    def test_a_busy_process_is_not_suspended(self):
        detector = SuspensionDetector()
        detector.measure(100.0, 900.0)
        assert detector.measure(104.0, 904.0 + SUSPENSION_THRESHOLD_S / 2) == 0.0


LEAVE_LIMIT_S = 2.0
FRESH_S = FRESH_SHARE * LEAVE_LIMIT_S
SILENCE_S = SILENCE_SHARE * LEAVE_LIMIT_S


def make_fleet(count):
    """Return the `ReaderSelector` of each of ``count`` members, by name."""
    entries = [
        MemberEntry(f"d-{number}", f"d-{number}.1", "10.0.0.1:1", "fd-1", 1.0)
        for number in range(count)
    ]
    selectors = {}
    for own in entries:
        roster = Roster(own)
        for entry in entries:
            roster.put(entry)
        selectors[own.name] = ReaderSelector(roster, LEAVE_LIMIT_S)
    return selectors


class TestReaderSelector:
    @pytest.mark.parametrize("count", [1, 3, 18, 119])
    def test_few_daemons_read_for_all(self, count):
        selectors = make_fleet(count)
        chosen = {name: selector.tick(10.0) for name, selector in selectors.items()}
        readers = [name for name, reader in chosen.items() if reader is None]
        assert len(readers) == -(-count // FOLLOWERS_PER_READER)
        subscriptions = [reader for reader in chosen.values() if reader is not None]
        assert set(subscriptions) <= set(readers)
        assert all(
            subscriptions.count(reader) <= 2 * FOLLOWERS_PER_READER
            for reader in readers
        )

    def make_follower(self):
        selector = next(one for one in make_fleet(3).values() if one.tick(10.0))
        reader = selector.reader
        selector.record_facts(reader, 10.1)
        return selector, reader

    def test_updates_of_a_reader_replace_reads_while_fresh(self):
        selector, _ = self.make_follower()
        assert not selector.must_read(10.1 + FRESH_S)
        assert selector.must_read(10.1 + FRESH_S + 0.01)

    def test_longer_leave_limit_keeps_updates_fresh_longer(self):
        selector, _ = self.make_follower()
        selector.leave_limit_s = 1.5 * LEAVE_LIMIT_S
        assert not selector.must_read(10.1 + 1.4 * FRESH_S)
        assert selector.must_read(10.1 + 1.5 * FRESH_S + 0.01)

    def test_updates_of_other_daemons_do_not_count(self):
        selector, _ = self.make_follower()
        selector.record_facts("stranger", 11.0)
        assert selector.must_read(10.1 + FRESH_S + 0.01)

    def test_silent_reader_is_replaced_and_retried_later(self):
        selector, reader = self.make_follower()
        timeout_at_s = 10.1 + SILENCE_S + 0.01
        selector.tick(timeout_at_s)
        assert selector.reader != reader
        selector.tick(timeout_at_s + INITIAL_BACKOFF_S - 0.1)
        assert selector.reader != reader
        selector.tick(timeout_at_s + INITIAL_BACKOFF_S + 0.1)
        assert selector.reader == reader

    def test_a_daemon_with_followers_reads(self):
        selector, _ = self.make_follower()
        selector.add_follower("other", 10.1)
        assert selector.must_read(10.2)
        assert selector.list_followers(10.1 + SUBSCRIPTION_TTL_S) == ["other"]
        assert selector.list_followers(10.2 + SUBSCRIPTION_TTL_S) == []
