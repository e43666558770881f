"""Tests that a late copy of a response is not taken for that to the next call."""

import json

import pytest

from firworks.standins.platform_targets import PlatformStage
from firworks.tests.gateway_testbed import PROMPT, make_configuration, play, wait_until

STAGED = {
    **PROMPT,
    "X-Pieces": "2,2",
}
REQUESTS = 6
LAST_STAGE = 1


class Recorder:
    """Takes the place of a writer, to see what would be written."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        """Keep the data."""
        self.data += data


class CopyingStage(PlatformStage):
    """Repeats each response on its connection, ahead of that to the next call.

    Attributes:
        makers (dict of str to tuple): Request id and stage that each result is for.
        copied (int): Copies that were written.
    """

    def __init__(self, target_id, service, failure_domain="fd-1"):
        super().__init__(target_id, service, failure_domain)
        self.makers = {}
        self.copied = 0
        self._copies = {}
        self._items = []

    async def serve(self, writer, line, headers, body):
        """Process a call; see `PlatformStage.serve`."""
        self._items = json.loads(body).get("items", [])
        await super().serve(writer, line, headers, body)

    def _answer(self, writer, headers, status, body, *args, **kwargs):
        if body and self._items:
            results = json.loads(body)["items"]
            for item, result in zip(self._items, results, strict=True):
                self.makers[result["handle"]] = (item["id"], item["stage"])
        recorder = Recorder()
        super()._answer(recorder, headers, status, body, *args, **kwargs)
        if writer in self._copies:
            self.copied += 1
            writer.write(self._copies[writer])
        # Stages echo no id, as their calls bear none.
        data = recorder.data.replace(b"X-Request-Id: \r\n", b"")
        self._copies[writer] = data
        writer.write(data)


class TestStageCalls:
    @pytest.mark.parametrize("gateways", [1, 2])
    def test_requests_run_on_their_own_results(self, gateways):
        # The results of one call were taken for those of the next (review/2).
        async def scenario(testbed):
            stages = [
                await testbed.add_target(CopyingStage, f"copier-{number}", "copiers")
                for number in (1, 2)
            ]
            table = make_configuration(2)
            (route,) = [one for one in table["routes"] if one["name"] == "advice"]
            for stage in route["stages"]:
                stage["service"] = "copiers"
            (pool,) = [one for one in table["services"] if one["name"] == "repair"]
            table["services"].append({**pool, "name": "copiers"})
            testbed.store.put_configuration(table)
            for gateway in testbed.gateways:
                await wait_until(lambda one=gateway: one.configuration.version == 2)
            for number in range(REQUESTS):
                gateway = testbed.gateways[number % gateways]
                status, _, _ = await testbed.send_request(
                    "/advice/a",
                    "POST",
                    gateway,
                    b"",
                    **STAGED,
                    **{"X-Piece-Key": f"k{number}"},
                )
                assert status == 200
            makers = {key: one for stage in stages for key, one in stage.makers.items()}
            runs = [
                headers
                for target in testbed.targets.values()
                if target.service == "engines"
                for _, headers, _ in target.received
                if "x-inputs" in headers
            ]
            assert len(runs) == REQUESTS
            for headers in runs:
                inputs = headers["x-inputs"].split(",")
                own = (headers["x-request-id"], LAST_STAGE)
                assert {makers[one] for one in inputs} == {own}

        play(scenario, gateways)
