"""Tests of orders to a stand-in engine over HTTP."""

import asyncio

from firworks.adapter import AdapterContext
from firworks.kernel.orders.records import (
    ORDER_ACCEPTED,
    ORDER_EXPIRED,
    ORDER_FAILED,
    ORDER_STALE,
    EngineInspected,
    EngineState,
    InspectEngine,
    OrderEngine,
)
from firworks.plugins.http_orders import HttpOrders
from firworks.standins.engine import StandinEngine

WANTED = EngineState(("large", "small"), ("small/clerks",), "mixed")


class Addresses(dict):
    def find(self, target):
        return self.get(target)


class Bed:
    """An engine, the adapter and the events that it feeds."""

    async def __aenter__(self):
        self.engine = StandinEngine("e-0")
        await self.engine.start()
        self.events = asyncio.Queue()
        addresses = Addresses({"e-0": self.engine.address, "gone": "127.0.0.1:1"})
        feed = self.events.put_nowait
        context = AdapterContext(None, "vm-1.a", feed, lambda: 10.0, addresses)
        self.adapter = HttpOrders(context)
        return self

    async def __aexit__(self, *error):
        await self.adapter.stop()
        await self.engine.stop()

    async def order(self, fencing, target="e-0", send_before_s=11.0):
        action = OrderEngine("o", target, fencing, WANTED, send_before_s, 5.0)
        self.adapter.carry_out(action)
        return (await self.events.get()).result

    async def inspect(self):
        self.adapter.carry_out(InspectEngine("e-0"))
        return await self.events.get()


class TestHttpOrders:
    def test_an_order_brings_the_engine_to_the_wanted_state(self):
        async def run():
            async with Bed() as bed:
                assert await bed.order(7) == ORDER_ACCEPTED
                shown = await bed.inspect()
                while shown.loading:
                    shown = await bed.inspect()
                assert shown == EngineInspected("e-0", WANTED, False)

        asyncio.run(run())

    def test_an_engine_that_checks_refuses_an_old_number(self):
        async def run():
            async with Bed() as bed:
                bed.engine.orders.checks_fencing = True
                assert await bed.order(7) == ORDER_ACCEPTED
                assert await bed.order(6) == ORDER_STALE
                assert len(bed.engine.orders.orders) == 1

        asyncio.run(run())

    def test_an_order_is_not_sent_after_its_time(self):
        async def run():
            async with Bed() as bed:
                assert await bed.order(7, send_before_s=9.0) == ORDER_EXPIRED
                assert bed.engine.orders.orders == []

        asyncio.run(run())

    def test_an_engine_out_of_reach_fails_the_order(self):
        async def run():
            async with Bed() as bed:
                assert await bed.order(7, target="gone") == ORDER_FAILED

        asyncio.run(run())
