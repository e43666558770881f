"""Tests of the admin listener, over real sockets on ephemeral ports."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession

from firworks.admin import AdminView, DaemonStatus, KeyStatus
from firworks.burn import BurnRecorder
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.metrics import Metrics
from firworks.plugins.admin import HttpAdmin
from firworks.settings import make_settings


class FakeView(AdminView):
    """A daemon that remembers what it was asked."""

    def __init__(self, name="d1"):
        self.burn = BurnRecorder(name, f"{name}.a", 0.0)
        self.metrics = Metrics()
        self.ready = True
        self.drained = False
        self.resolved = []

    def is_ready(self):
        return self.ready

    def status(self):
        return DaemonStatus(
            *("d1", "d1.a", "trial", "region-1", "fd-1"),
            *(self.ready, self.drained, 7, "ab", 3),
        )

    async def look_up_key(self, key):
        if key.key == "broken":
            raise ZeroDivisionError
        if key.key == "down":
            raise RequestError(Code.LEDGER_UNAVAILABLE, "the log does not answer")
        return KeyStatus("unknown")

    async def resolve_key(self, key, resolution, answer):
        self.resolved.append((key.key, resolution, answer))
        return KeyStatus("outcome", answer=answer)

    def start_drain(self):
        self.drained = True


def make_admin_settings(**changes):
    table = {
        "name": "d1",
        "log_url": "http://127.0.0.1:1",
        "vms_url": "http://127.0.0.1:1",
        "admin": "127.0.0.1:0",
    }
    return make_settings({**table, **changes})


@asynccontextmanager
async def run_admin(view, **changes):
    admin = HttpAdmin(make_admin_settings(**changes), view)
    await admin.start()
    try:
        yield admin
    finally:
        await admin.stop()


def ask(view, method, path, headers=None, body=None, **changes):
    """Return the status and JSON (or text) of one request to a listener."""

    async def run():
        async with run_admin(view, **changes) as admin, ClientSession() as session:
            url = f"http://127.0.0.1:{admin.port}{path}"
            async with session.request(method, url, headers=headers, json=body) as got:
                if got.content_type == "application/json":
                    return got.status, await got.json()
                return got.status, await got.text()

    return asyncio.run(run())


LEDGER = "/ledger?account=clubs&service=loans&key="


class TestHttpAdmin:
    def test_ready_follows_the_daemon(self):
        view = FakeView()
        assert ask(view, "GET", "/ready") == (200, {"ready": True})
        view.ready = False
        assert ask(view, "GET", "/ready") == (503, {"ready": False})
        assert ask(view, "GET", "/live")[0] == 200

    def test_metrics_show_the_state(self):
        status, text = ask(FakeView(), "GET", "/metrics")
        assert status == 200
        assert "firworks_configuration_version 7.0" in text

    def test_status_and_burn(self):
        assert ask(FakeView(), "GET", "/status")[1]["in_progress"] == 3
        assert ask(FakeView(), "GET", "/burn")[1]["daemon"] == "d1"

    def test_drain(self):
        view = FakeView()
        assert ask(view, "POST", "/drain")[0] == 202
        assert view.drained

    @pytest.mark.parametrize(
        ("key", "status", "code"),
        [
            ("", 400, Code.USAGE),
            ("down", 503, Code.LEDGER_UNAVAILABLE),
            ("broken", 500, Code.INTERNAL),
        ],
    )
    def test_ledger_errors_carry_codes(self, key, status, code):
        got = ask(FakeView(), "GET", LEDGER + key)
        assert (got[0], got[1]["code"]) == (status, code)

    def test_resolve(self):
        view = FakeView()
        body = {"account": "clubs", "service": "loans", "key": "k"}
        body |= {"resolution": "ran", "answer": '{"loan": 1}'}
        assert ask(view, "POST", "/ledger/resolve", body=body)[0] == 200
        assert view.resolved == [("k", "ran", '{"loan": 1}')]

    @pytest.mark.parametrize("resolution", ["perhaps", "", 5, None])
    def test_resolve_refuses_other_words(self, resolution):
        view = FakeView()
        body = {"account": "clubs", "service": "loans", "key": "k"}
        body["resolution"] = resolution
        status, got = ask(view, "POST", "/ledger/resolve", body=body)
        assert (status, got["code"], view.resolved) == (400, Code.USAGE, [])

    def test_secret_guards_all_but_the_open_paths(self):
        secret = {"admin_secret": "s3cret"}
        for headers in (None, {"Authorization": "Bearer wrong"}):
            got = ask(FakeView(), "POST", "/drain", headers, **secret)
            assert (got[0], got[1]["code"]) == (401, Code.UNAUTHENTICATED)
        right = {"Authorization": "Bearer s3cret"}
        assert ask(FakeView(), "POST", "/drain", right, **secret)[0] == 202
        assert ask(FakeView(), "GET", "/ready", **secret)[0] == 200

    def test_without_a_secret_only_loopback_is_served(self):
        got = ask(FakeView(), "POST", "/drain", admin="0.0.0.0:0")
        assert (got[0], got[1]["code"]) == (403, Code.FORBIDDEN)

    def test_unknown_paths_carry_a_code(self):
        assert ask(FakeView(), "GET", "/nothing")[1]["code"] == Code.USAGE
