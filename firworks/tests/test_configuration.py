"""Tests of configuration acceptance and of the part that follows it."""

import hashlib
import random

from firworks.codes import Code
from firworks.kernel.configuration import ConfigurationHistory
from firworks.kernel.configuration_follower import ConfigurationFollower
from firworks.kernel.configuration_records import (
    NO_VERSION,
    Publish,
    pack_document,
)
from firworks.kernel.fleet import ConfigurationAccepted
from firworks.kernel.messages import LogEntry, LogRead, ReadLog, Tick
from firworks.settings import make_settings

DOCUMENT = "format = 1\n[pipelines]\n[accounts]\n[pools.p]\nkind='service'\n"


def make_data(number=0):
    return f"{DOCUMENT}targets = ['t-{number}']\n".encode()


def make_publish(name, base, data=None, number=0, form=1):
    data = make_data(number) if data is None else data
    digest = hashlib.sha256(data).hexdigest()
    return Publish(name, base, form, digest, pack_document(data))


def make_read(*records, asked=0, oldest=0):
    entries = [LogEntry(asked + i, 0.0, (r,)) for i, r in enumerate(records)]
    head = asked + len(entries)
    return LogRead("config-production", asked, oldest, head, tuple(entries))


def make_follower(name="vm-1", seed=1, **table):
    urls = {"log_url": "http://127.0.0.1:1", "vms_url": "http://127.0.0.1:1"}
    settings = make_settings({"name": name, **urls, **table})
    return ConfigurationFollower(settings, random.Random(seed))


class TestConfigurationHistory:
    def test_one_of_two_racing_publications_wins(self):
        history = ConfigurationHistory()
        first, second = make_publish("a", NO_VERSION), make_publish("b", NO_VERSION)
        decisions = history.fold(make_read(first, second))
        assert [d.code for d in decisions] == [Code.OK, Code.BASE_SUPERSEDED]
        assert (history.state.version, decisions[1].current) == (0, 0)

    def test_invalid_documents_are_refused(self):
        history = ConfigurationHistory()
        wrong = make_publish("a", NO_VERSION, b"format = 1\nsurplus = 2\n")
        decisions = history.fold(make_read(wrong, make_publish("b", NO_VERSION)))
        assert [d.code for d in decisions] == [Code.DOCUMENT_INVALID, Code.OK]


class TestConfigurationFollower:
    def test_a_version_read_from_the_log_is_put_in_force(self):
        follower = make_follower()
        assert follower.handle(Tick(0.0), 0.0) == [ReadLog("config-production", None)]
        assert not follower.ready
        results = follower.handle(make_read(make_publish("a", NO_VERSION)), 0.1)
        assert isinstance(results[0], ConfigurationAccepted)
        assert follower.ready and follower.version == 0
