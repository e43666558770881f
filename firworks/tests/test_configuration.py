"""Tests of the part that puts configuration versions in force."""

import random

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
