"""Tests of API keys while client accounts have none, and around their changes."""

import asyncio
import json
import tomllib

import pytest

from firworks.codes import Code
from firworks.document import make_document
from firworks.errors import RequestError
from firworks.kernel.callers import RequestArrived
from firworks.kernel.forwarding.admission import admit
from firworks.kernel.forwarding.requests import CallerRequest
from firworks.kernel.limits.arrivals import check_arrival
from firworks.platform.configuration import decode_configuration
from firworks.tests.gateway_testbed import (
    HOST,
    KEY,
    PROMPT,
    make_configuration,
    play,
    play_cases,
    wait_until,
)
from firworks.tests.kit import TOKEN, make_document_bytes

# Client accounts without any key, in all ways in which a record can say so.
WITHOUT_KEYS = [
    [{"name": "club", "api-keys": []}],
    [{"name": "club"}],
    [{"name": "club", "api-keys": None}],
    [{"name": "club", "api-keys": []}, {"name": "bank", "api-keys": []}],
]
NEVER_VALID = "no-configuration-has-it"


def send_keys(testbed, gateway, path="/stock/a"):
    """Send a request with the revoked key, an unknown one and none; return statuses."""

    async def send(key):
        return (await testbed.send_request(path, gateway=gateway, key=key))[0]

    return asyncio.gather(*map(send, (KEY, NEVER_VALID, None)))


def list_received(testbed, path):
    """Return the headers (dict) of the requests for a path that targets received."""
    return [
        headers
        for target in testbed.targets.values()
        for line, headers, _ in target.received
        if line.split()[1] == path
    ]


async def apply(testbed, gateways, **changes):
    """Publish a configuration and wait until gateways apply it."""
    versions = [one.configuration.version for one in gateways if one.configuration]
    version = max(versions, default=0) + 1
    testbed.store.put_configuration(make_configuration(version, **changes))
    for gateway in gateways:
        await wait_until(
            lambda one=gateway: (
                one.configuration is not None and one.configuration.version == version
            )
        )


class TestAdmission:
    """Requests need a key as soon as there are client accounts (review/1)."""

    def admit(self, tenants, key, path="/stock/a"):
        table = make_configuration(tenants=tenants)
        configuration = decode_configuration(json.dumps(table).encode())
        request = CallerRequest("r", "GET", HOST, path, key, None, None, None, (), "")
        return admit(request, configuration, 0.0)

    @pytest.mark.parametrize("tenants", WITHOUT_KEYS)
    @pytest.mark.parametrize("key", [KEY, NEVER_VALID, "", None])
    def test_no_key_is_valid_while_no_account_has_one(self, tenants, key):
        with pytest.raises(RequestError) as caught:
            self.admit(tenants, key)
        assert caught.value.code == Code.UNAUTHENTICATED

    @pytest.mark.parametrize("tenants", WITHOUT_KEYS)
    def test_public_routes_need_none(self, tenants):
        assert self.admit(tenants, None, "/open/a").account is None

    def test_keys_are_needed_by_client_accounts_only(self):
        assert self.admit([], None).account is None
        assert self.admit(None, NEVER_VALID).account is None
        one_left = [*WITHOUT_KEYS[0], {"name": "bank", "api-keys": [NEVER_VALID]}]
        assert self.admit(one_left, NEVER_VALID).account.name == "bank"
        with pytest.raises(RequestError):
            self.admit(one_left, KEY)


class TestRevokedKeys:
    @staticmethod
    def make_revocation(tenants):
        async def scenario(testbed):
            assert await send_keys(testbed, testbed.gateways[0]) == [200, 401, 401]
            received = list_received(testbed, "/stock/a")
            await apply(testbed, testbed.gateways, tenants=tenants)
            late = await testbed.add_gateway("late")
            for gateway in (*testbed.gateways, late):
                assert await send_keys(testbed, gateway) == [401] * 3
            assert list_received(testbed, "/stock/a") == received
            statuses = await send_keys(testbed, late, "/open/a")
            assert statuses == [200] * 3
            public = list_received(testbed, "/open/a")
            assert not [one for one in public if {"authorization", "x-tenant"} & {*one}]
            again = [{"name": "club", "api-keys": [NEVER_VALID]}]
            await apply(testbed, [*testbed.gateways, late], tenants=again)
            assert await send_keys(testbed, late) == [401, 200, 401]

        return scenario

    def test_no_request_runs_once_the_last_key_is_revoked(self):
        # Also at a gateway that starts with such a configuration, and its peers.
        play_cases(self.make_revocation, [(2, tenants) for tenants in WITHOUT_KEYS])

    def test_accounts_without_keys_after_none_at_all(self):
        async def scenario(testbed):
            await apply(testbed, testbed.gateways, tenants=[])
            assert await send_keys(testbed, testbed.gateways[0]) == [200] * 3
            await apply(testbed, testbed.gateways, tenants=WITHOUT_KEYS[0])
            assert await send_keys(testbed, testbed.gateways[0]) == [401] * 3
            await apply(testbed, testbed.gateways, tenants=[])
            assert await send_keys(testbed, testbed.gateways[0]) == [200] * 3

        play(scenario)

    @pytest.mark.parametrize("tenants", [{}, [None], [{"api-keys": [KEY]}], "club"])
    def test_unreadable_accounts_admit_nobody_new(self, tenants):
        # The record is not applied: peers keep the last one, a new gateway waits.
        async def scenario(testbed):
            table = make_configuration(2, tenants=tenants)
            testbed.store.put("keyed.op", "config", json.dumps(table).encode())
            late = await testbed.add_gateway("late", ready=False)
            await wait_until(lambda: late.configuration or late._targets.listed)
            if late.configuration is None:
                assert await send_keys(testbed, late) == [503] * 3
            assert await send_keys(testbed, testbed.gateways[0]) == [200, 401, 401]

        play(scenario)


class TestPathsOfConfigurations:
    """Requests with an unknown key run on none of the ways a configuration takes."""

    def test_a_gateway_without_a_configuration_forwards_nothing(self):
        async def scenario(testbed):
            for topic in ("keyed.op", "keyed.servers"):
                testbed.store.trim(topic)
            testbed.store.put("keyed.op", "config", b"")
            gateway = await testbed.add_gateway("first", ready=False)
            assert await send_keys(testbed, gateway) == [503] * 3
            assert not list_received(testbed, "/stock/a")
            testbed.store.put_configuration(make_configuration())
            await wait_until(lambda: gateway.configuration is not None)
            assert (await send_keys(testbed, gateway))[1:] == [401] * 2

        play(scenario, gateways=0)

    def test_the_last_of_several_versions_written_at_once_holds(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            revoked = [{"name": "club", "api-keys": []}]
            for version, tenants in ((2, revoked), (3, []), (4, revoked)):
                table = make_configuration(version, tenants=tenants)
                testbed.store.put_configuration(table)
            await wait_until(lambda: gateway.configuration.version == 4)
            assert await send_keys(testbed, gateway) == [401] * 3

        play(scenario)

    def test_an_older_record_does_not_bring_a_key_back(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            revoked = [{"name": "club", "api-keys": []}]
            await apply(testbed, [gateway], tenants=revoked)
            older = make_configuration(1)
            testbed.store.put("keyed.op", "config", json.dumps(older).encode())
            late = await testbed.add_gateway("late")
            await wait_until(lambda: late.configuration.version == 2)
            for one in (gateway, late):
                assert await send_keys(testbed, one) == [401] * 3

        play(scenario)

    def test_a_gateway_that_follows_another_applies_its_revocation(self):
        # The peer decodes the operator's record itself, from the same bytes.
        async def scenario(testbed):
            def list_followers():
                return [
                    gateway
                    for gateway in testbed.gateways
                    if gateway._replicator.configuration_follower.is_delegated
                ]

            await wait_until(list_followers)
            (follower,) = list_followers()
            (reader,) = set(testbed.gateways) - {follower}
            table = make_configuration(2, tenants=[{"name": "club", "api-keys": []}])
            reader._configurations.apply_record(json.dumps(table).encode(), "store")
            await wait_until(lambda: follower.configuration.version == 2)
            assert await send_keys(testbed, follower) == [401] * 3

        play(scenario, gateways=2)


class TestKeysOfWaitingRequests:
    STAGED = {
        **PROMPT,
        **{"X-Pieces": "1,1", "X-Piece-Key": "k"},
    }

    @pytest.mark.parametrize(
        ("before", "account"),
        [(None, "club"), ([], None)],
        ids=["needed", "not needed"],
    )
    def test_no_key_reaches_a_target_while_accounts_come_or_go(self, before, account):
        # A request that waited for its stages took the caller's key along.
        accounts = make_configuration()["tenants"]

        async def scenario(testbed):
            (gateway,) = testbed.gateways
            if before is not None:
                await apply(testbed, [gateway], tenants=before)
            for target in testbed.targets.values():
                target.fault = "hang" if target.service == "repair" else ""
            request = asyncio.ensure_future(
                testbed.send_request("/advice/a", "POST", body=b"", **self.STAGED)
            )
            await wait_until(lambda: gateway.pools.busy)
            after = [] if before is None else accounts
            await apply(testbed, [gateway], tenants=after)
            for target in testbed.targets.values():
                target.fault = ""
                for writer in list(target._writers):
                    writer.transport.abort()
            assert (await request)[0] == 200
            (received,) = list_received(testbed, "/advice/a")
            assert "authorization" not in received
            assert received.get("x-tenant") == account

        play(scenario)


class TestDaemonTokens:
    """`firworksd` has no configuration in which requests need no token."""

    @pytest.mark.parametrize("token", ["", "unknown", TOKEN])
    def test_no_token_is_valid_without_accounts(self, token):
        table = tomllib.loads(make_document_bytes().decode())
        document = make_document({**table, "accounts": {}}, "digest")
        event = RequestArrived(request_id="r", token=token, pipeline="look", body={})
        assert check_arrival(event, document, False) == Code.UNAUTHENTICATED
