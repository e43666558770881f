"""Tests of the part that puts configuration versions in force."""

import random

import pytest

from firworks.document import parse_document
from firworks.errors import SettingsError
from firworks.kernel.configuration_follower import ConfigurationFollower
from firworks.kernel.configuration_records import NO_VERSION
from firworks.kernel.fleet import ConfigurationAccepted
from firworks.kernel.messages import ReadLog, Tick
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


class TestDocumentMemory:
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

    def test_a_refused_account_is_not_remembered(self):
        for _ in range(2):
            with pytest.raises(SettingsError):
                self.parse(7, 0)
