"""Tests of the decisions about software versions of streams."""

import json

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools.engines import EngineScheduler, NotPlaced, Placed
from firworks.kernel.pools.jobs import EngineJob
from firworks.kernel.pools.messages import MemberEntry
from firworks.kernel.pools.roster import Roster
from firworks.kernel.versions.keepers import KeeperSelector
from firworks.kernel.versions.origins import StreamOrigins, make_stream_digest
from firworks.kernel.versions.resumption import (
    ONLY_VERSION,
    Origin,
    choose_service,
    infer_origin,
    is_compatible,
)
from firworks.kernel.versions.served import ServedVersion, ServedVersions
from firworks.kernel.versions.services import StreamServices
from firworks.platform.configuration import decode_configuration
from firworks.tests.gateway_testbed import HOST, make_configuration, make_route

LIFE_S = 30.0
SERVICE = "engines"
SLOTS = 10


def make_target(name="e1", version="v1", service=SERVICE):
    return Target(name, service, "127.0.0.1:1", "fd", version, 4, False, 1, 0.0)


def make_job(name, excluded=(), priority=1, deadline_s=5.0):
    return EngineJob(
        name, (), (), 10, 10, priority, deadline_s, deadline_s, excluded, (), ()
    )


def list_placed(actions):
    return {
        one.job.job_id: one.target.target_id
        for one in actions
        if isinstance(one, Placed)
    }


class TestOrigins:
    def test_stream_is_found_until_it_can_no_longer_be_resumed(self):
        origins = StreamOrigins(10, LIFE_S)
        digest = make_stream_digest("club", "a")
        assert origins.record(SERVICE, "v1", digest, 0.0)
        assert not origins.record(SERVICE, "v1", digest, 20.0)
        assert origins.find(SERVICE, digest, 49.0) == "v1"
        assert origins.find("other", digest, 49.0) is None
        assert origins.find(SERVICE, digest, 50.0) is None
        origins.expire(50.0)
        assert len(origins) == 0

    def test_id_used_for_streams_of_two_versions_is_unknown(self):
        origins = StreamOrigins(10, LIFE_S)
        digest = make_stream_digest("club", "a")
        for version in ("v1", "v2", "v1"):
            origins.record(SERVICE, version, digest, 0.0)
        assert origins.find(SERVICE, digest, 1.0) is None
        assert origins.list_streams(SERVICE) == {}

    def test_accounts_cannot_name_streams_of_others(self):
        assert make_stream_digest("a", "b") != make_stream_digest("", "ab")
        assert make_stream_digest("a", "b") != make_stream_digest("c", "b")
        assert make_stream_digest(None, "b") == make_stream_digest(None, "b")

    def test_memory_is_bounded(self):
        origins = StreamOrigins(100, LIFE_S)
        for number in range(1_000):
            digest = make_stream_digest("club", str(number))
            origins.record(SERVICE, "v1", digest, 0.001 * number)
        assert len(origins) == 100
        assert origins.find(SERVICE, digest, 1.0) == "v1"


class TestServedVersions:
    def test_version_counts_until_its_last_stream_has_ended(self):
        served = ServedVersions(LIFE_S)
        served.observe([make_target("e1"), make_target("e2", "v2")], {SERVICE}, 0.0)
        served.observe([make_target("e2", "v2")], {SERVICE}, 10.0)
        assert served.list_versions(SERVICE, 39.0) == {"v1", "v2"}
        assert served.list_versions(SERVICE, 40.0) == {"v2"}

    def test_stored_version_is_removed_once(self):
        served = ServedVersions(LIFE_S)
        served.observe([make_target("e1"), make_target("e2", "v2")], {SERVICE}, 0.0)
        unstored = served.list_unstored({SERVICE})
        assert unstored == [ServedVersion(SERVICE, "v1"), ServedVersion(SERVICE, "v2")]
        for one in unstored:
            assert served.store(one, 0.0) and not served.store(one, 0.0)
        assert not served.list_unstored({SERVICE})
        served.observe([make_target("e2", "v2")], {SERVICE}, 10.0)
        assert served.pop_outdated(39.0) == []
        assert served.pop_outdated(40.0) == [ServedVersion(SERVICE, "v1")]
        served.remove_stored(ServedVersion(SERVICE, "v1"))
        assert served.pop_outdated(41.0) == []

    def test_new_daemon_counts_what_it_reads_as_just_served(self):
        served = ServedVersions(LIFE_S)
        served.observe([make_target("e2", "v2")], {SERVICE}, 100.0)
        served.replace_stored([ServedVersion(SERVICE, "v1")], 100.0)
        assert served.list_versions(SERVICE, 129.0) == {"v1", "v2"}

    def test_rollback(self):
        served = ServedVersions(LIFE_S)
        for time_s, version in ((0.0, "v1"), (5.0, "v2"), (50.0, "v1")):
            served.observe([make_target("e1", version)], {SERVICE}, time_s)
        assert served.list_versions(SERVICE, 79.0) == {"v1", "v2"}
        assert served.list_versions(SERVICE, 80.0) == {"v1"}


class TestResumption:
    def test_only_version_is_inferred(self):
        assert infer_origin({SERVICE: {"v1"}}) == Origin(SERVICE, "v1", ONLY_VERSION)
        assert infer_origin({SERVICE: {"v1", "v2"}}) is None
        known = Origin("", "v1", ONLY_VERSION)
        assert infer_origin({SERVICE: {"v1"}, "other": {"v1"}}) == known
        assert infer_origin({SERVICE: {"v1"}, "other": {"v2"}}) is None
        assert infer_origin({SERVICE: {""}, "other": {""}}) is None
        one = Origin(SERVICE, "v1", ONLY_VERSION)
        assert infer_origin({SERVICE: {"v1"}, "other": set()}) == one
        assert infer_origin({SERVICE: set()}) is None
        assert infer_origin({}) is None

    def test_targets_without_a_version(self):
        assert is_compatible(make_target(version=""), "", {""})
        assert not is_compatible(make_target(version=""), "", {"", "v1"})
        assert not is_compatible(make_target(version="v2"), "v1", {"v1", "v2"})
        assert is_compatible(make_target(version="v1"), "v1", {"", "v1", "v2"})

    def test_service_that_began_a_stream_is_preferred(self):
        targets = {"a": ["a1"], "b": ["b1"], "c": []}
        assert choose_service("b", ["a", "a", "b", "c"], "v1", targets) == "b"
        assert choose_service("", ["a", "a", "b", "c"], "v1", targets) == "a"
        assert choose_service("c", ["c", "a", "b", "c"], "v1", targets) == "a"
        assert choose_service("gone", ["b", "a", "b"], "v1", targets) == "b"
        assert choose_service("c", ["c", "c"], "v1", targets) is None

    def test_stream_without_a_version_stays_at_its_service(self):
        targets = {"a": ["a1"], "b": ["b1"], "c": []}
        assert choose_service("b", ["a", "a", "b"], "", targets) == "b"
        assert choose_service("c", ["a", "a", "b"], "", targets) is None
        assert choose_service("gone", ["a", "a", "b"], "", targets) is None


class TestStreamServices:
    def configure(self, services, now, **routes):
        """Apply routes with the services (str, separated by blanks) of each prefix."""
        table = make_configuration(
            routes=[
                make_route(
                    name,
                    None,
                    "streaming",
                    resumable=True,
                    **{
                        "traffic-split": [
                            {"service": one, "weight": 1} for one in names.split()
                        ],
                        "path-prefix": "/" if name == "all" else f"/{name}/",
                    },
                )
                for name, names in routes.items()
            ]
        )
        data = json.dumps(table).encode()
        services.configure(decode_configuration(data), now)

    def list_services(self, services, now, path="/a/x"):
        return sorted(services.list_services(HOST, path, now))

    def test_former_services_count_until_their_last_stream_has_ended(self):
        services = StreamServices(LIFE_S)
        self.configure(services, 0.0, a="x y", b="z")
        self.configure(services, 10.0, a="y", b="z")
        self.configure(services, 15.0, a="w", b="z")
        assert self.list_services(services, 39.0) == ["w", "x", "y"]
        assert self.list_services(services, 41.0) == ["w", "y"]
        assert self.list_services(services, 46.0) == ["w"]
        assert self.list_services(services, 20.0, "/b/x") == ["z"]
        assert services.list_lately(41.0) == {"w", "y", "z"}

    def test_service_that_comes_back_counts_as_current(self):
        services = StreamServices(LIFE_S)
        for time_s, names in ((0.0, "x"), (10.0, "y"), (20.0, "x")):
            self.configure(services, time_s, a=names)
        assert self.list_services(services, 100.0) == ["x"]

    def test_streams_may_have_begun_on_a_route_of_a_shorter_prefix(self):
        services = StreamServices(LIFE_S)
        self.configure(services, 0.0, all="x")
        self.configure(services, 40.0, all="x", a="y")
        assert self.list_services(services, 69.0) == ["x", "y"]
        assert self.list_services(services, 70.0) == ["y"]
        self.configure(services, 100.0, all="x")
        assert self.list_services(services, 129.0) == ["x", "y"]
        services.expire(130.0)
        assert self.list_services(services, 130.0) == ["x"]

    def test_history_is_known_after_the_life_of_a_stream(self):
        services = StreamServices(LIFE_S)
        assert not services.knows_history(100.0)
        self.configure(services, 100.0, a="x")
        assert not services.knows_history(129.0)
        assert services.knows_history(130.0)


class TestKeepers:
    def test_daemon_of_an_older_firworks_is_not_chosen(self):
        entries = [
            MemberEntry(f"g{number}", "i", "127.0.0.1:1", "fd", 1.0)
            for number in range(4)
        ]
        roster = Roster(entries[0])
        for entry in entries[1:]:
            roster.put(entry)
        roster.set_pools([SERVICE])
        first = roster.rank(SERVICE)[0]
        protocols = dict.fromkeys(roster.rank(SERVICE), 1)
        selector = KeeperSelector(roster, protocols.get)
        assert selector.choose(SERVICE, 0.0) == first
        protocols.update(dict.fromkeys(protocols, 0))
        assert selector.choose(SERVICE, 0.0) == "g0"


# Streams of the older version could go on nowhere, as new ones had filled its engines.
class TestScarceEngines:
    def make_scheduler(self, old=1, new=3):
        scheduler = EngineScheduler(EngineSpec(SLOTS, 100_000, 0))
        targets = [make_target(f"old{number}") for number in range(old)]
        targets += [make_target(f"new{number}", "v2") for number in range(new)]
        scheduler.set_targets(targets, 0.0)
        self.bound_to_old = tuple(f"new{number}" for number in range(new))
        return scheduler

    def test_places_are_left_for_streams_that_go_on(self):
        scheduler = self.make_scheduler()
        placed = {}
        for number in range(3 * SLOTS + 8):
            placed.update(list_placed(scheduler.submit(make_job(f"n{number}"), 0.0)))
        on_old = [one for one in placed.values() if one == "old0"]
        assert len(on_old) == 8
        for number in range(2):
            job = make_job(f"r{number}", self.bound_to_old)
            assert list_placed(scheduler.submit(job, 0.0)) == {f"r{number}": "old0"}

    def test_new_streams_use_them_when_all_others_are_full(self):
        scheduler = self.make_scheduler(1, 1)
        placed = {}
        for number in range(2 * SLOTS):
            placed.update(list_placed(scheduler.submit(make_job(f"n{number}"), 0.0)))
        assert len(placed) == 2 * SLOTS

    def test_streams_that_go_on_are_placed_first(self):
        scheduler = self.make_scheduler(1, 1)
        for number in range(2 * SLOTS):
            scheduler.submit(make_job(f"n{number}"), 0.0)
        scheduler.submit(make_job("urgent", priority=0), 0.0)
        scheduler.submit(make_job("r", self.bound_to_old, priority=5), 0.0)
        old = next(
            job_id
            for job_id in list(scheduler._by_job)
            if scheduler._by_job[job_id].target.target_id == "old0"
        )
        assert list_placed(scheduler.end(old, False, 1.0)) == {"r": "old0"}

    def test_half_as_many_resumed_as_new_streams_go_on(self):
        scheduler = self.make_scheduler(2, 3)
        begun = {"new": 0, "resumed": 0}
        for number in range(40):
            new = scheduler.submit(make_job(f"n{number}"), 0.0)
            begun["new"] += len(list_placed(new))
            if number % 4 == 0:
                job = make_job(f"r{number}", self.bound_to_old)
                placed = list_placed(scheduler.submit(job, 0.0))
                begun["resumed"] += len(placed)
        assert begun["resumed"] / 10 >= 0.5 * begun["new"] / 40

    def test_request_without_an_eligible_engine_is_refused_at_once(self):
        scheduler = self.make_scheduler()
        job = make_job("r", ("old0", *self.bound_to_old))
        (refused,) = scheduler.submit(job, 0.0)
        assert isinstance(refused, NotPlaced)

    def test_waiting_stream_is_refused_when_its_version_leaves(self):
        scheduler = self.make_scheduler(1, 1)
        for number in range(2 * SLOTS):
            scheduler.submit(make_job(f"n{number}"), 0.0)
        assert scheduler.submit(make_job("r", self.bound_to_old), 0.0) == []
        (refused,) = scheduler.set_targets([make_target("new0", "v2")], 1.0)
        assert (type(refused), refused.job.job_id) == (NotPlaced, "r")
