"""Socket tests of the log adapter and its driver against the stand-in's faults."""

import asyncio

import cbor2
import pytest

from firworks.errors import LogUnavailableError
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    LogReadFailed,
    ReadLog,
    RecordsAppended,
    Tick,
)
from firworks.plugins.http_log import HttpLog
from firworks.plugins.log_driver import LogDriver
from firworks.standins.log import LogFaults, LogStandin


def run(scenario, **options):
    """Run a scenario against a started stand-in and adapter."""

    async def main():
        standin = LogStandin(**options)
        log = HttpLog(await standin.start())
        try:
            await scenario(standin, log)
        finally:
            await log.close()
            await standin.stop()

    asyncio.run(main())


def key(name):
    return WorkKey("account", "service", name)


class TestHttpLog:
    def test_appended_records_are_read_back_in_order(self):
        async def scenario(standin, log):
            assert await log.append("s", [key("a"), key("b")]) == 0
            assert await log.append("s", [key("c")]) == 1
            read = await log.read("s", None)
            assert (read.oldest, read.head) == (0, 2)
            assert read.entries[0].records == (key("a"), key("b"))
            assert (await log.read("s", 1)).entries == read.entries[1:]

        run(scenario)

    @pytest.mark.parametrize(
        ("faults", "landed"),
        [({"lose": 1}, 1), ({"down": True}, 0), ({"late": 1, "late_ms": 0}, 1)],
    )
    def test_an_unconfirmed_append_may_have_landed(self, faults, landed):
        async def scenario(standin, log):
            standin.faults = LogFaults(**faults)
            with pytest.raises(LogUnavailableError):
                await log.append("s", [key("a")])
            standin.faults.down = False
            while standin.store.stream("s").head < landed:
                await asyncio.sleep(0)
            assert (await log.read("s", None)).head == landed

        run(scenario)

    def test_a_doubled_append_takes_two_offsets(self):
        async def scenario(standin, log):
            standin.faults = LogFaults(double=1)
            await log.append("s", [key("a")])
            entries = (await log.read("s", None)).entries
            assert [entry.records for entry in entries] == [(key("a"),)] * 2

        run(scenario)

    def test_old_entries_are_dropped_by_age(self):
        times = [0.0]

        async def scenario(standin, log):
            await log.append("s", [key("a")])
            times[0] = 11.0
            read = await log.read("s", 0)
            assert (read.oldest, read.head, read.entries) == (1, 1, ())

        run(scenario, retention_s=10.0, clock=lambda: times[0])

    @pytest.mark.parametrize(
        "data", [b"\xff\x00", b"", cbor2.dumps(5), cbor2.dumps([b"x", 7])]
    )
    def test_a_corrupt_entry_keeps_its_offset_and_holds_no_records(self, data):
        async def scenario(standin, log):
            standin.store.append("s", data)
            await log.append("s", [key("a")])
            entries = (await log.read("s", None)).entries
            assert [entry.records for entry in entries] == [(), (key("a"),)]

        run(scenario)

    def test_a_long_stream_is_read_in_pieces(self):
        async def scenario(standin, log):
            for number in range(5):
                await log.append("s", [key(f"{number}" * 40_000)])
            first = await log.read("s", None)
            assert (len(first.entries), first.head) == (1, 5)
            assert (await log.read("s", 4)).entries[0].offset == 4

        run(scenario)

    def test_faults_are_set_over_http(self):
        async def scenario(standin, log):
            session = log._open()
            url = f"{log._url}/admin/faults"
            async with session.post(url, json={"down": True}) as response:
                assert (await response.json())["down"] is True
            async with session.post(url, json={"unknown": 1}) as response:
                assert response.status == 400
            with pytest.raises(LogUnavailableError):
                await log.read("s", None)

        run(scenario)


class TestLogDriver:
    def test_actions_are_carried_out_and_answered(self):
        async def scenario(standin, log):
            events = asyncio.Queue()
            driver = LogDriver(log, events.put_nowait)
            assert driver.carry_out(AppendRecords("x/1", "s", (key("a"),)))
            assert await events.get() == RecordsAppended("x/1", "s", 0)
            assert driver.carry_out(ReadLog("s", None))
            assert (await events.get()).entries[0].records == (key("a"),)
            standin.faults = LogFaults(down=True)
            driver.carry_out(AppendRecords("x/2", "s", (key("b"),)))
            assert await events.get() == AppendFailed("x/2", "s")
            driver.carry_out(ReadLog("s", 0))
            assert await events.get() == LogReadFailed("s", 0)
            assert not driver.carry_out(Tick(0.0))

        run(scenario)
