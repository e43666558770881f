"""Tests that nothing but its own rest follows the first bytes of a response."""

import asyncio

import pytest

from firworks.kernel.forwarding.outcomes import BROKEN, NOT_RUN, AttemptError, Progress
from firworks.tests.gateway_process import Caller
from firworks.tests.gateway_testbed import PROMPT, play


class TestProgress:
    @pytest.mark.parametrize("kind", [BROKEN, NOT_RUN])
    @pytest.mark.parametrize("resumable", [True, False])
    def test_only_a_resumable_stream_goes_on_once_it_has_begun(self, kind, resumable):
        progress = Progress(True, 5, resumable)
        failure = AttemptError(kind, True, "")
        progress.record(failure)
        assert progress.judge(failure, 1.0, True).retry
        progress.has_begun = True
        assert progress.judge(failure, 1.0, True).retry == resumable


class TestResets:
    """The connection to a target is reset in a response (review/5)."""

    @pytest.mark.parametrize(
        ("path", "fault", "complete"),
        [
            ("/stock/a", "large", False),
            ("/book/a", "large", False),
            ("/rules/a", "", True),
            ("/once/a", "", False),
        ],
        ids=["idempotent", "not idempotent", "resumable stream", "stream"],
    )
    @pytest.mark.parametrize("then", ["", "reset", "busy", "fail", "missing"])
    def test_caller_gets_one_response_or_a_broken_one(
        self, path, fault, complete, then
    ):
        async def scenario(testbed):
            gate = asyncio.Event()
            for target in testbed.targets.values():
                target.fault, target.gate = fault, gate
            async with Caller(testbed.gateways[0].callers.port) as caller:
                caller.send(path, body=b"", **PROMPT)
                status, headers = await caller.read_head()
                assert (status, headers["transfer-encoding"]) == (200, "chunked")
                await caller.read_until(b"\r\n")
                for target in testbed.targets.values():
                    target.fault = then or fault
                    for writer in list(target._writers):
                        writer.transport.abort()
                gate.set()
                rest = await caller.read_rest()
            # A further response would have a status line.
            assert b"HTTP/1.1" not in rest
            ends = rest.endswith(b"\r\n0\r\n\r\n")
            assert ends == (complete and not then)

        play(scenario)
