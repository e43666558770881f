"""Callers whose prompts share parts, one of which crashes engines."""

import asyncio
from random import Random

from firworks.standins.crashing_targets import DEADLY_PART

PATH = "/rules/q"
SYSTEM_PART = "5a5a"
GROUP_PARTS = ("b0b0", "b1b1", "b2b2", "b3b3")
DEADLY_PROMPTS = {
    "first": (DEADLY_PART, SYSTEM_PART, "b0b0"),
    "middle": (SYSTEM_PART, DEADLY_PART, "b0b0"),
    "last but one": (SYSTEM_PART, "b0b0", DEADLY_PART),
    "one of many": (SYSTEM_PART, *GROUP_PARTS, DEADLY_PART, "c0c0", "c1c1"),
    "beside a rare part": (SYSTEM_PART, "eeee", DEADLY_PART),
}
STEP_S = 0.02


class Sent:
    """A request of the traffic.

    Attributes:
        begun_s (float): When it was sent, by the loop's clock.
        deadly (bool): Its prompt has the deadly part.
        status (int): Status of the response; 0 without one.
    """

    __slots__ = ("begun_s", "deadly", "status")

    def __init__(self, begun_s, deadly):
        self.begun_s = begun_s
        self.deadly = deadly
        self.status = 0


class PromptTraffic:
    """Sends sound and deadly requests of one caller through all gateways at random.

    Args:
        testbed (CrashTestbed): Has engines that can crash.
        sound_per_s (float): Sound requests per second.
        deadly_per_s (float): Requests with the deadly part per second.
        deadly_parts (tuple of str): Parts of these, without the request's own.
        path (str): Path of all requests.

    Attributes:
        sent (list of Sent): All requests, in order.
    """

    def __init__(
        self,
        testbed,
        sound_per_s,
        deadly_per_s,
        deadly_parts=DEADLY_PROMPTS["middle"],
        path=PATH,
    ):
        self.sent = []
        self._testbed = testbed
        self._rates = {False: sound_per_s, True: deadly_per_s}
        self._deadly_parts = deadly_parts
        self._path = path
        self._rng = Random(7)

    async def run(self, length_s):
        """Send for some seconds, and wait for all responses."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        due = {False: 0.0, True: 0.0}
        attempts = []
        while (elapsed_s := loop.time() - begun_s) < length_s:
            for deadly, rate in self._rates.items():
                while rate and due[deadly] <= elapsed_s:
                    due[deadly] += 1 / rate
                    attempts.append(asyncio.ensure_future(self._send(deadly)))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*attempts)

    async def _send(self, deadly):
        sent = Sent(asyncio.get_running_loop().time(), deadly)
        self.sent.append(sent)
        number = len(self.sent)
        shared = (SYSTEM_PART, self._rng.choice(GROUP_PARTS))
        parts = [*(self._deadly_parts if deadly else shared), f"f{number:x}"]
        gateway = self._rng.choice(self._testbed.gateways)
        headers = {
            "X-Model": "m",
            "X-Token-Counts": f"{10 * len(parts)},20",
            "X-Prefix-Hash": ",".join(f"{part}:10" for part in parts),
        }
        sent.status = await self._testbed.send_tolerantly(
            self._path, gateway, body=f"q{number}".encode(), **headers
        )

    def measure_served(self, from_s, to_s=float("inf")):
        """Return the share of the sound requests of a time that were served."""
        sound = [
            one.status == 200
            for one in self.sent
            if not one.deadly and from_s <= one.begun_s < to_s
        ]
        return sum(sound) / max(1, len(sound))
