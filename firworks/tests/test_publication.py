"""Tests of publishing and promoting, with racing operators and a faulty log."""

import asyncio
import hashlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks import publication
from firworks.codes import Code
from firworks.errors import (
    BaseSupersededError,
    FirworksError,
    LogUnavailableError,
    NotConfiguredError,
    NotPromotableError,
    SettingsError,
)
from firworks.kernel.configuration.records import NO_VERSION
from firworks.publication import history, promote, publish, read_current, restore
from firworks.tests.test_configuration_history import LogModel, make_data, make_publish

TRIAL = "config-trial"
PRODUCTION = "config-production"


class PlatformLog:
    """Streams whose answers get lost, and whose appends land late or twice."""

    def __init__(self, rng=None, fault_share=0.0):
        self.streams = {TRIAL: LogModel(), PRODUCTION: LogModel()}
        self.rng = rng
        self.fault_share = fault_share
        self.late = []
        self.up = True

    def faulty(self):
        return self.rng is not None and self.rng.random() < self.fault_share

    async def append(self, stream, records):
        await asyncio.sleep(0)
        if not self.up:
            raise LogUnavailableError("down")
        self.land_late()
        if self.faulty():
            self.late.append((stream, records[0]))
            raise LogUnavailableError("lost on the way; it lands late")
        self.streams[stream].land(records[0])
        if self.faulty():
            self.late.append((stream, records[0]))
        if self.faulty():
            raise LogUnavailableError("the answer was lost")
        return len(self.streams[stream].entries) - 1

    async def read(self, stream, offset):
        await asyncio.sleep(0)
        if not self.up or self.faulty():
            raise LogUnavailableError("no answer")
        return self.streams[stream].read(offset)

    def land_late(self, share=0.5):
        for item in list(self.late):
            if self.rng.random() < share:
                self.late.remove(item)
                self.streams[item[0]].land(item[1])


@pytest.fixture(autouse=True)
def no_delays(monkeypatch):
    monkeypatch.setattr(publication, "RETRY_DELAY_S", 0.0)


async def run_operator(log, number, base):
    """Return what an operator is told: its result and its document's digest."""
    data = make_data(number)
    try:
        result = await publish(log, "production", data, base)
    except FirworksError as error:
        result = error
    return result, hashlib.sha256(data).hexdigest()


async def race(log, operators):
    base = (await run_operator(log, 99, None))[0]
    base = base.offset if not isinstance(base, FirworksError) else None
    runs = [run_operator(log, number, base) for number in range(operators)]
    return await asyncio.gather(*runs)


class TestPublish:
    @given(st.integers(0, 10**6), st.integers(1, 4), st.sampled_from([0.0, 0.2, 0.4]))
    def test_racing_operators_are_told_the_truth(self, seed, operators, share):
        log = PlatformLog(random.Random(seed), share)
        told = asyncio.run(race(log, operators))
        log.land_late(1.0)
        accepted = log.streams[PRODUCTION].accepted
        digests = [record.digest for record in accepted.values()]
        assert len(digests) == len(set(digests))
        for result, digest in told:
            if isinstance(result, BaseSupersededError):
                assert digest not in digests
                assert result.current in accepted
            elif not isinstance(result, FirworksError):
                assert accepted[result.offset].digest == digest
            else:
                assert result.code is Code.LOG_UNAVAILABLE

    def test_a_lost_answer_is_resolved_by_resuming(self):
        log = PlatformLog()
        log.streams[PRODUCTION].land(make_publish("mine", NO_VERSION))
        log.streams[PRODUCTION].land(make_publish("other", 0, number=1))
        run = publish(log, "production", make_data(), NO_VERSION, "mine")
        assert asyncio.run(run).offset == 0
        assert len(log.streams[PRODUCTION].entries) == 2

    def test_an_unknown_fate_names_the_way_to_resume(self):
        log = PlatformLog()

        async def fail(stream, records):
            log.up = False
            raise LogUnavailableError("down")

        log.append = fail
        with pytest.raises(LogUnavailableError, match="resume with publication id"):
            asyncio.run(publish(log, "production", make_data()))

    def test_invalid_documents_are_not_appended(self):
        log = PlatformLog()
        with pytest.raises(SettingsError, match="surplus"):
            asyncio.run(publish(log, "production", b"format = 1\nsurplus = 2\n"))
        assert log.streams[PRODUCTION].entries == []

    def test_a_stale_base_is_refused_with_the_version_that_beat_it(self):
        log = PlatformLog()
        asyncio.run(publish(log, "production", make_data()))
        with pytest.raises(BaseSupersededError, match="replaced by version 0"):
            asyncio.run(publish(log, "production", make_data(1), NO_VERSION))
        assert len(log.streams[PRODUCTION].entries) == 1

    def test_history_lists_what_was_decided(self):
        log = PlatformLog()
        stream = log.streams[PRODUCTION]
        stream.land(make_publish("a", NO_VERSION))
        stream.land(make_publish("b", NO_VERSION))
        codes = [d.code for d in asyncio.run(history(log, "production"))]
        assert codes == [Code.OK, Code.BASE_SUPERSEDED]


class TestPromote:
    def test_production_gets_the_bytes_accepted_in_trial(self):
        log = PlatformLog()
        asyncio.run(publish(log, "trial", make_data(1)))
        asyncio.run(publish(log, "trial", make_data(2)))
        decision = asyncio.run(promote(log))
        assert decision.digest == hashlib.sha256(make_data(2)).hexdigest()

    def test_no_other_digest_is_promoted(self):
        log = PlatformLog()
        with pytest.raises(NotPromotableError):
            asyncio.run(promote(log))
        asyncio.run(publish(log, "trial", make_data(1)))
        with pytest.raises(NotPromotableError):
            asyncio.run(promote(log, hashlib.sha256(make_data(2)).hexdigest()))
        assert log.streams[PRODUCTION].entries == []


class TestRestore:
    def test_an_environment_without_a_version_gets_one(self):
        log = PlatformLog()
        stream = log.streams[PRODUCTION]
        for name in ("a", "b"):
            stream.land(make_publish(name, 7))
        stream.oldest = 2
        with pytest.raises(NotConfiguredError):
            asyncio.run(publish(log, "production", make_data()))
        assert asyncio.run(restore(log, "production", make_data())).offset == 2
        assert asyncio.run(read_current(log, "production")).version == 2

    def test_a_version_in_force_is_not_overridden(self):
        log = PlatformLog()
        asyncio.run(publish(log, "production", make_data()))
        with pytest.raises(BaseSupersededError):
            asyncio.run(restore(log, "production", make_data(1)))
