"""Tests of the part that puts configuration versions in force."""

import random
from itertools import pairwise

import pytest

from firworks.document import parse_document
from firworks.errors import SettingsError
from firworks.kernel.configuration.snapshots import SNAPSHOT_RETENTION_SHARE
from firworks.kernel.configuration.follower import (
    FOLLOWERS_PER_DOMAIN,
    ConfigurationFollower,
)
from firworks.kernel.configuration.reader import ConfigurationReader
from firworks.kernel.configuration.records import (
    NO_VERSION,
    Carry,
    ConfigurationFact,
    ConfigurationSent,
    ConfigurationWanted,
)
from firworks.kernel.fleet.events import (
    MEMBER_DEAD,
    TOPIC_CONFIGURATION,
    ConfigurationAccepted,
    FactLearned,
    MemberChanged,
)
from firworks.kernel.messages import (
    AppendRecords,
    LogReadFailed,
    PeerConnected,
    PeerReceived,
    ReadLog,
    SendPeer,
    Tick,
    VmEntry,
    VmsListed,
)
from firworks.settings import make_settings
from firworks.tests.test_configuration_history import STREAM, LogModel, make_publish


def make_settings_of(name, **table):
    urls = {"log_url": "http://127.0.0.1:1", "vms_url": "http://127.0.0.1:1"}
    return make_settings({"name": name, **urls, **table})


def make_follower(name="vm-1", seed=1, **table):
    return ConfigurationFollower(make_settings_of(name, **table), random.Random(seed))


class TestConfigurationFollower:
    def test_a_version_read_from_the_log_is_put_in_force(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        follower = make_follower()
        assert follower.handle(Tick(0.0), 0.0) == [ReadLog(STREAM, None)]
        assert not follower.ready
        results = follower.handle(log.read(None), 0.1)
        assert isinstance(results[0], ConfigurationAccepted)
        assert follower.ready and follower.version == 0


class TestDocumentCache:
    ACCOUNT = "[accounts.a]\ntoken_sha256 = ['{}']\nrate_per_s = {}\nconcurrency = {}\n"

    def parse(self, rate, concurrency, token="a" * 64):
        head = "format = 1\n[pipelines]\n[pools]\n"
        return parse_document(
            (head + self.ACCOUNT.format(token, rate, concurrency)).encode()
        )

    def test_a_changed_account_is_checked_again(self):
        assert self.parse(5, 2).accounts["a"].concurrency == 2
        for rate, concurrency in ((5, "2.0"), (5, "'2'"), (5, 0), (-1, 2), (5, "true")):
            with pytest.raises(SettingsError, match="accounts.a"):
                self.parse(rate, concurrency)
        with pytest.raises(SettingsError, match="accounts.a.token_sha256"):
            self.parse(5, 2, token="b")
        assert self.parse(6, 2).accounts["a"].rate_per_s == 6

    def test_a_rejected_account_is_not_cached(self):
        for _ in range(2):
            with pytest.raises(SettingsError):
                self.parse(7, 0)


def connect(follower, domains, now=0.0):
    """Connect peers of some failure domains; return whom the follower asked."""
    vms = [VmEntry(n, "10.0.0.1:1", "entry", "r", d) for n, d in domains.items()]
    follower.handle(VmsListed(tuple(vms)), now)
    results = [r for n in domains for r in follower.handle(PeerConnected(n), now)]
    return [r.peer for r in results if isinstance(r, SendPeer)]


def make_sent(log, position):
    return ConfigurationSent(log.make_snapshot(position), 0, 0.0)


def list_accepted(results):
    return [r.version for r in results if isinstance(r, ConfigurationAccepted)]


class TestStartWithoutLog:
    DOMAINS = {"p-1": "fd-1", "p-2": "fd-1", "p-3": "fd-2", "p-4": "fd-3"}

    def test_the_highest_version_of_peers_in_each_failure_domain_is_used(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(make_publish("b", 0, number=1))
        follower = make_follower()
        follower.handle(Tick(0.0), 0.0)
        follower.handle(LogReadFailed(STREAM, None), 0.1)
        assert connect(follower, self.DOMAINS, 0.1) == ["p-1", "p-3", "p-4"]
        assert follower.handle(PeerReceived("p-1", make_sent(log, 1)), 0.2) == []
        assert not follower.ready
        follower.handle(PeerReceived("p-3", make_sent(log, 2)), 0.3)
        assert list_accepted(follower.handle(Tick(0.0), 1.3)) == [1]

    def test_an_older_response_never_replaces_a_newer_version(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(make_publish("b", 0, number=1))
        follower = make_follower()
        connect(follower, self.DOMAINS)
        follower.handle(PeerReceived("p-1", make_sent(log, 2)), 0.2)
        follower.handle(Tick(0.0), 1.3)
        assert follower.handle(PeerReceived("p-3", make_sent(log, 1)), 1.4) == []
        assert follower.version == 1

    def test_a_waiting_peer_gets_the_version_once_there_is_one(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        follower = make_follower()
        wanted = PeerReceived("p-1", ConfigurationWanted(0))
        assert follower.handle(wanted, 0.0) == []
        results = follower.handle(log.read(None), 0.1)
        assert [r.peer for r in results if isinstance(r, SendPeer)] == ["p-1"]


class TestGossip:
    def test_an_announced_version_is_requested_once_from_a_peer(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        follower = make_follower()
        follower.handle(log.read(None), 0.0)
        connect(follower, {"p-1": "fd-1", "p-2": "fd-2"})
        log.land(make_publish("b", 0, number=1))
        fact = ConfigurationFact(1, log.accepted[1].digest)
        heard = FactLearned(TOPIC_CONFIGURATION, STREAM, fact, "p-2")
        asked = follower.handle(heard, 0.5)
        assert [r.message for r in asked] == [ConfigurationWanted(1)]
        assert follower.handle(heard, 0.6) == []
        sent = PeerReceived("p-1", make_sent(log, 2))
        assert list_accepted(follower.handle(sent, 0.7)) == [1]


class TestPolling:
    def test_two_daemons_of_a_failure_domain_follow_the_log(self):
        names = {f"vm-{number}": f"fd-{number % 3}" for number in range(18)}
        following = []
        for name, domain in names.items():
            follower = make_follower(name, failure_domain=domain)
            connect(follower, names)
            if follower.follows_log():
                following.append(domain)
        assert sorted(following) == ["fd-0", "fd-0", "fd-1", "fd-1", "fd-2", "fd-2"]

    def test_others_take_over_when_followers_are_gone(self):
        names = {f"vm-{number}": "fd-1" for number in range(3)}
        for name in names:
            follower = make_follower(name, failure_domain="fd-1")
            connect(follower, names)
            for other in names:
                if other != name:
                    follower.handle(MemberChanged(other, "i", MEMBER_DEAD), 0.0)
            assert follower.follows_log()

    def test_a_fresh_daemon_reads_only_the_tail(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        for _ in range(300):
            log.land(make_publish("late", NO_VERSION))
        log.land(log.make_snapshot(len(log.entries)))
        reader = ConfigurationReader()
        reads = 0
        while not reader.at_head:
            reader.take(log.read(reader.offset, 16))
            reads += 1
        assert reader.history.known and reader.history.state.version == 0
        assert reads <= 2 + 64 // 16

    def test_a_fresh_daemon_reads_further_back_for_a_snapshot(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        log.land(log.make_snapshot(1))
        for _ in range(300):
            log.land(make_publish("late", NO_VERSION))
        log.oldest = 1
        reader = ConfigurationReader()
        while not reader.at_head:
            reader.take(log.read(reader.offset, 16))
        assert reader.history.known and reader.history.state.version == 0


class TestSnapshots:
    def follow(self, log, count, retention_s, seconds):
        """Run followers of one failure domain; return the log's carries."""
        names = {f"vm-{number}": "fd-1" for number in range(count)}
        window = {"log_retention_s": retention_s, "dedupe_window_s": 1.0}
        window |= {"clock_skew_s": 1.0, "failure_domain": "fd-1"}
        followers = [make_follower(n, seed, **window) for seed, n in enumerate(names)]
        for follower in followers:
            connect(follower, names)
        for now in range(0, seconds, 2):
            for follower in followers:
                for result in follower.handle(Tick(float(now)), float(now)):
                    if isinstance(result, ReadLog):
                        follower.handle(log.read(result.offset, 99), float(now))
                    elif isinstance(result, AppendRecords):
                        log.land(result.records[0], float(now))
        return [e for e in log.entries if isinstance(e.records[0], Carry)]

    def test_few_daemons_append_snapshots_well_before_retention_ends(self):
        log = LogModel()
        log.land(make_publish("a", NO_VERSION))
        retention_s = 4000
        carries = self.follow(log, 18, float(retention_s), retention_s)
        times = [0.0, *(e.written_s for e in carries), retention_s]
        assert max(b - a for a, b in pairwise(times)) < retention_s / 4
        periods = 1 / SNAPSHOT_RETENTION_SHARE
        assert len(carries) <= periods * FOLLOWERS_PER_DOMAIN
