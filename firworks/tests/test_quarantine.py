"""Tests of suspicion, isolation and refusal of requests that crash targets."""

from itertools import count

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from firworks.kernel.calls import (
    RESULT_CRASHED,
    RESULT_OK,
    CallEnded,
    CallIdentity,
    CallRequested,
)
from firworks.kernel.fleet.events import RequestQuarantined
from firworks.kernel.messages import Tick
from firworks.kernel.quarantine import FORGET_AFTER_S, SUSPECT_LIMIT, Quarantine
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

POISON = b"poison"


def make_call(call_id, fingerprint, alone):
    identity = CallIdentity("i", "r", 0, 1)
    fields = ("a", "p", "s", "pool", 9.0, 9.0, True)
    return CallRequested(
        call_id, identity, *fields, alone=alone, fingerprint=fingerprint
    )


def end_call(call_id, fingerprint, target, result, neighbours=()):
    return CallEnded(
        call_id,
        target,
        "pool",
        result,
        0.1,
        fingerprint=fingerprint,
        neighbours=neighbours,
    )


class Site:
    """Runs requests through the daemons of a fleet against crashing targets."""

    def __init__(self, size=6, seed=0, loss=0.0):
        self.fleet = VirtualFleet(
            make_vms(size),
            seed=seed,
            loss=loss,
            make_extra_parts=lambda daemon: (Quarantine(daemon.name),),
        )
        self.fleet.run(3)
        self.crashes = 0
        self._ids = count(1)

    def check(self, name, fingerprint):
        quarantine = self.fleet.daemons[name].parts[2]
        return quarantine.check(fingerprint, self.fleet.now)

    def run(self, name, target, fingerprints):
        """Run requests together at a target; returns those that were admitted."""
        verdicts = {f: self.check(name, f) for f in fingerprints}
        admitted = [f for f in fingerprints if not verdicts[f].refused]
        alone = [f for f in admitted if verdicts[f].alone]
        together = [f for f in admitted if not verdicts[f].alone]
        for batch in (*([f] for f in alone), together):
            self._run_batch(name, target, batch, batch != together)
        return admitted

    def _run_batch(self, name, target, batch, alone):
        calls = {f: next(self._ids) for f in batch}
        for fingerprint, call_id in calls.items():
            self.fleet.feed(name, make_call(call_id, fingerprint, alone))
        crashed = POISON in batch
        self.crashes += crashed
        for fingerprint, call_id in calls.items():
            others = tuple(f for f in batch if f != fingerprint) if crashed else ()
            result = RESULT_CRASHED if crashed else RESULT_OK
            event = end_call(call_id, fingerprint, target, result, others)
            self.fleet.feed(name, event)


class TestQuarantine:
    def test_poison_request_is_refused_by_all_daemons_after_two_crashes(self):
        site = Site()
        for number, name in enumerate(sorted(site.fleet.daemons)):
            site.run(name, f"t{number}", [POISON])
            site.fleet.run(1.0)
        assert site.crashes == 2
        verdicts = [site.check(name, POISON) for name in site.fleet.daemons]
        assert all(v.refused and v.retry_after_s > 0 for v in verdicts)

    @profile(max_examples=20)
    @given(
        st.integers(0, 1000),
        st.lists(
            st.tuples(st.integers(0, 5), st.integers(0, 4), st.sets(st.integers(0, 3))),
            min_size=1,
            max_size=12,
        ),
    )
    def test_neighbours_are_never_refused(self, seed, rounds):
        site = Site(seed=seed)
        for daemon, target, neighbours in rounds:
            innocents = [b"good%d" % n for n in sorted(neighbours)]
            wanted = [*innocents, POISON]
            admitted = site.run(f"vm-00{daemon}", f"t{target}", wanted)
            assert [f for f in admitted if f != POISON] == innocents
            site.fleet.run(0.5)
        distinct = {target for _, target, _ in rounds}
        if len(distinct) > 1 and len(rounds) > 6:
            assert site.crashes < len(rounds)

    def test_request_that_ran_beside_the_poison_is_cleared_when_run_alone(self):
        site = Site()
        site.run("vm-000", "t0", [POISON, b"good"])
        site.run("vm-001", "t1", [POISON, b"good"])
        site.fleet.run(1.0)
        assert site.check("vm-002", b"good").alone
        site.run("vm-002", "t2", [b"good"])
        site.fleet.run(1.0)
        verdict = site.check("vm-003", b"good")
        assert not verdict.alone and not verdict.refused

    def test_crash_shared_with_poison_of_another_daemon_is_no_evidence(self):
        site = Site()
        crash = RESULT_CRASHED
        site.fleet.feed("vm-000", end_call(1, b"good", "t0", crash, (b"x",)))
        site.fleet.feed("vm-000", make_call(2, b"good", True))
        site.fleet.feed("vm-001", end_call(1, POISON, "t1", crash))
        site.fleet.feed("vm-000", end_call(2, b"good", "t1", crash))
        site.fleet.run(1.0)
        assert not any(site.check(n, b"good").refused for n in site.fleet.daemons)

    def test_two_crashes_of_one_target_count_once(self):
        site = Site()
        site.run("vm-000", "t0", [POISON])
        site.run("vm-000", "t0", [POISON])
        assert site.check("vm-000", POISON).alone

    def test_suspicion_expires(self):
        quarantine = Quarantine("vm-000")
        seen = []
        for number in (1, 2):
            target = f"t{number}"
            quarantine.handle(make_call(number, POISON, number > 1), 0.0)
            seen += quarantine.handle(
                end_call(number, POISON, target, RESULT_CRASHED), 0.0
            )
        assert [s for s in seen if isinstance(s, RequestQuarantined)] == [
            RequestQuarantined(POISON, FORGET_AFTER_S)
        ]
        assert quarantine.check(POISON, 1.0).refused
        quarantine.handle(Tick(0.0), FORGET_AFTER_S)
        assert not quarantine.check(POISON, FORGET_AFTER_S).alone
        assert quarantine.suspects == 0

    def test_number_of_suspects_is_bounded(self):
        quarantine = Quarantine("vm-000")
        for number in range(SUSPECT_LIMIT + 9):
            fingerprint = number.to_bytes(4, "big")
            quarantine.handle(end_call(number, fingerprint, "t", RESULT_CRASHED), 0.0)
        assert quarantine.suspects == SUSPECT_LIMIT
