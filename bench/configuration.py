"""How long a publication takes to be in force everywhere, in virtual time.

Run ``python -m bench.configuration``. Kernels run against a modelled log and
network; what a document costs to check is measured on this machine.
"""

import hashlib
import time
from functools import lru_cache
from random import Random
from statistics import median

import fire

from firworks.document import parse_document
from firworks.kernel.configuration.follower import ConfigurationFollower
from firworks.kernel.configuration.records import (
    NO_VERSION,
    ConfigurationSent,
    Publish,
    name_stream,
    pack_document,
)
from firworks.kernel.messages import (
    AppendRecords,
    LogEntry,
    LogRead,
    LogReadFailed,
    ReadLog,
    SendPeer,
)
from firworks.settings import make_settings
from firworks.tests.virtual_fleet import VirtualFleet, make_vms, measure_size

STREAM = name_stream("production")
TICK_S = 0.05
SETTLE_S = 40.0
LIMIT_S = 60.0
READ_ENTRIES = 100
POOL = """format = 1
[pipelines]
[pools.p]
kind = "service"
targets = ["t-{number}"]
"""
ACCOUNT = """[accounts.account-{index}]
token_sha256 = ["{token}"]
rate_per_s = 10
concurrency = 10
"""


def make_document(accounts, number):
    """Return a document's bytes with many client accounts."""
    parts = [POOL.format(number=number)]
    for index in range(accounts):
        token = hashlib.sha256(str(index).encode()).hexdigest()
        parts.append(ACCOUNT.format(index=index, token=token))
    return ("".join(parts) + ("" if accounts else "[accounts]\n")).encode()


# The daemons of the model share parsed documents: its time is virtual.
parse_once = lru_cache(parse_document)


class ModelFleet(VirtualFleet):
    """A virtual fleet with a log, in which configurations are published.

    Args:
        size (int): Daemons.
        log_delay_s (float): Each way to the log and back.
        cut_off (callable): Whether a daemon (VmEntry) cannot reach the log.
    """

    def __init__(self, size, regions, log_delay_s, cut_off=lambda vm: False, **options):
        self.entries = []
        self.log_delay_s = log_delay_s
        self.cut_off = cut_off
        self.reads = 0
        self.document_bytes = 0
        vms = make_vms(size, regions, 2 if regions > 1 else 3)
        super().__init__(vms, make_extra_parts=self.make_parts, tick_s=TICK_S, **options)

    def make_parts(self, daemon):
        """Return the configuration part of a daemon."""
        urls = {"log_url": "http://127.0.0.1:1", "vms_url": "http://127.0.0.1:1"}
        places = {
            "region": daemon.vm.region,
            "failure_domain": daemon.vm.failure_domain,
        }
        settings = make_settings({"name": daemon.name, **urls, **places})
        rng = Random(f"{self.seed}/{daemon.name}/configuration")
        daemon.follower = ConfigurationFollower(settings, rng, {1: parse_once})
        return [daemon.follower]

    def _perform(self, daemon, action):
        if isinstance(action, ReadLog):
            self.reads += 1
            self._schedule(2 * self.log_delay_s, self._answer, daemon, action)
        elif isinstance(action, AppendRecords):
            self._schedule(self.log_delay_s, self.land, action.records)
        else:
            sent = isinstance(action, SendPeer) and action.message
            if isinstance(sent, ConfigurationSent):
                self.document_bytes += measure_size(sent)
            super()._perform(daemon, action)

    def _answer(self, daemon, action):
        if self.cut_off(daemon.vm):
            self._feed(daemon, LogReadFailed(action.stream, action.offset))
            return
        start = action.offset or 0
        entries = tuple(self.entries[start : start + READ_ENTRIES])
        head = len(self.entries)
        self._feed(daemon, LogRead(action.stream, action.offset, 0, head, entries))

    def land(self, records):
        """Append an entry and return its offset."""
        offset = len(self.entries)
        self.entries.append(LogEntry(offset, self.now, tuple(records)))
        return offset

    def publish(self, data, base):
        """Publish a document and return its version."""
        digest = hashlib.sha256(data).hexdigest()
        record = Publish(f"p-{self.now}", base, 1, digest, pack_document(data))
        return self.land([record])

    def time_publications(self, accounts, publications, rng):
        """Return the times (list of seconds) until versions were in force."""
        base = self.publish(make_document(accounts, 0), NO_VERSION)
        self.run(SETTLE_S)
        times = []
        for number in range(1, publications + 1):
            self.run(rng.uniform(5.0, 35.0))
            begun_s = self.now
            base = self.publish(make_document(accounts, number), base)
            self.run(LIMIT_S, lambda: self.in_force(base))  # noqa: B023
            times.append(self.now - begun_s)
        return times

    def in_force(self, version):
        """Return whether every daemon has a version in force."""
        return all(d.follower.version == version for d in self.daemons.values())


def show_row(name, size, regions, accounts, publications, **options):
    """Measure one fleet and print its row."""
    fleet = ModelFleet(size, regions, seed=1, **options)
    times = fleet.time_publications(accounts, publications, Random(1))
    reads = fleet.reads / fleet.now
    sent = fleet.document_bytes / size / (publications + 1) / 1000
    print(
        f"{name:38s} {size:4d} {accounts:8d}  {median(times):6.2f} {max(times):6.2f}"
        f"  {reads:7.1f}  {sent:8.1f}",
        flush=True,
    )


def show_cost(accounts):
    """Print what a document of a size costs to hold, send and check."""
    data = make_document(accounts, 0)
    packed = pack_document(data)
    begun_s = time.process_time()
    parse_document(data)
    check_ms = 1000 * (time.process_time() - begun_s)
    sizes = f"{len(data) / 1000:8.1f} {len(packed) / 1000:8.1f}"
    print(f"{accounts:8d} {sizes} {check_ms:9.1f}")


def main(large=True):
    """Print the tables.

    Args:
        large (bool): Also measure the fleet of 330 daemons.
    """
    print("accounts       kB   packed  check ms")
    for accounts in (5, 100, 1300):
        show_cost(accounts)
    print()
    print(
        "                                       size accounts   p50 s  max s"
        "  reads/s  kB sent a daemon and version"
    )
    show_row("one cell", 18, 1, 5, 40, log_delay_s=0.005)
    show_row("one cell, log 0.5 s each way", 18, 1, 5, 40, log_delay_s=0.5)
    show_row(
        "one cell, 5 % of messages lost", 18, 1, 5, 40, log_delay_s=0.005, loss=0.05
    )

    def cut_off(vm):
        return vm.failure_domain == "fd-0"

    show_row(
        "one cell, a failure domain without log",
        *(18, 1, 5, 40),
        log_delay_s=0.005,
        cut_off=cut_off,
    )
    if large:
        show_row("two regions", 330, 2, 1300, 2, log_delay_s=0.02)


if __name__ == "__main__":
    fire.Fire(main)
