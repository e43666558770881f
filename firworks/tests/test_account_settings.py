"""Tests that accounts, weights and the setting reach the schedulers of the pools."""

import asyncio
import json

import cbor2
import pytest

from firworks.errors import CodecError
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.pools.messages import SubmitPieces, SubmitRequest
from firworks.platform.configuration import decode_configuration
from firworks.tests.crash_testbed import PIECES
from firworks.tests.gateway_testbed import make_configuration, run_testbed
from firworks.tests.test_pools import make_engine_job, make_job


class TestRecords:
    RECORDS = (
        SubmitPieces("repair", make_job("a", account="club", weight=2.5)),
        SubmitRequest("engines", make_engine_job("a", account="club", weight=2.5)),
    )

    @pytest.mark.parametrize("record", RECORDS)
    def test_account_and_weight_cross_the_wire(self, record):
        job = decode_record(encode_record(record)).job
        assert (job.account, job.weight) == ("club", 2.5)

    @pytest.mark.parametrize("record", RECORDS)
    @pytest.mark.parametrize(
        "change",
        [
            lambda packed: packed[:-1],
            lambda packed: packed[:-2],
            lambda packed: [*packed, 1.0],
            lambda packed: [*packed[:-1], "heavy"],
            lambda packed: [*packed[:-1], float("nan")],
            lambda packed: [*packed[:-2], 5, 1.0],
        ],
    )
    def test_other_records_are_decoding_errors(self, record, change):
        # A job of another length is one of another version of the gateway.
        name, service, job = cbor2.loads(encode_record(record))
        with pytest.raises(CodecError):
            decode_record(cbor2.dumps([name, service, change(job)]))


class TestConfigurations:
    def decode(self, **fields):
        """Return the account of a configuration with some fields changed."""
        table = make_configuration()
        table["tenants"][0].update(fields)
        configuration = decode_configuration(json.dumps(table).encode())
        (account,) = configuration.accounts_by_key.values()
        return account

    def test_weight_is_optional(self):
        assert self.decode().weight == 1.0
        assert self.decode(weight=3).weight == 3.0

    @pytest.mark.parametrize("weight", [0, -1, 1001, "2", None, True, [1]])
    def test_other_weights_are_refused(self, weight):
        with pytest.raises(CodecError, match="weight"):
            self.decode(weight=weight)


class TestGateways:
    @pytest.mark.parametrize("setting", ["off", "fair"])
    def test_the_setting_reaches_the_schedulers(self, setting):
        async def scenario():
            async with run_testbed(gateways=0) as testbed:
                table = make_configuration(2)
                table["tenants"][0]["weight"] = 4.0
                testbed.store.put_configuration(table)
                gateway = await testbed.add_gateway("g", account_shares=setting)
                await testbed.add_gateway("h", account_shares=setting)
                status, _, _ = await testbed.send_request(
                    "/advice/a", "POST", gateway, b"", **{**PIECES, "X-Piece-Key": "k"}
                )
                assert status == 200
                return [one.pools for one in testbed.gateways]

        pools = asyncio.run(scenario())
        for name, unit in (("repair", 1.0), ("engines", 1000.0)):
            runners = [{**one._stages, **one._engines}[name] for one in pools]
            shares = [runner.scheduler.shares for runner in runners]
            assert {one.active for one in shares} == {setting == "fair"}
            if setting == "fair":
                levels = {}
                for one in shares:
                    levels.update(one._levels)
                assert set(levels) == {"club"}
                assert 0.0 < levels["club"].value < unit
