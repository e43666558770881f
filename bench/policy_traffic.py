"""Traffic of the policy bench: the same for every policy under one seed."""

from math import log, sqrt
from random import Random

from bench.policy_site import (
    ACCOUNT_SHARES,
    ENGINE_WORK_S,
    FULL_LOAD_PER_S,
    SERVICE_WORK_S,
)

VARIATION = 0.5
TOPICS = 30
ACCOUNT_BLOCKS = 3
TOPIC_BLOCKS = 3
POISON_TIMES_S = (9.0, 15.0)


class Arrival:
    """One request as its caller made it.

    Attributes:
        number (int): Unique in the run.
        at_s (float): When it first arrives.
        pipeline (str): Its pipeline.
        account (str): Its client account.
        work_s (dict of str to float): Work by stage.
        prefix (tuple of bytes): Prompt block hashes.
        poison (bool): Crashes what runs its last stage.
    """

    __slots__ = (
        "number",
        "at_s",
        "pipeline",
        "account",
        "work_s",
        "prefix",
        "poison",
    )

    def __init__(self, number, at_s, pipeline, account, work_s, prefix, poison=False):
        self.number = number
        self.at_s = at_s
        self.pipeline = pipeline
        self.account = account
        self.work_s = work_s
        self.prefix = prefix
        self.poison = poison


class Traffic:
    """Draws the arrivals of one run.

    Args:
        seed (int): Same seed, same arrivals.
        load (float): Share of the site's capacity.
        duration_s (float): Length of the run.
    """

    def __init__(self, seed, load, duration_s):
        self._random = Random(f"traffic {seed}")
        self._load = load
        self._duration_s = duration_s
        self.arrivals = []

    def draw(self, burst=False, flood=False, poison=False):
        """Return all arrivals in order of time.

        Args:
            burst (bool): Three times the load from 8 s to 18 s.
            flood (bool): One large account asks for five times its share of "ask"
                from 8 s to 20 s.
            poison (bool): Two requests crash what runs them.
        """
        for pipeline in FULL_LOAD_PER_S:
            rate = FULL_LOAD_PER_S[pipeline] * self._load
            self._draw_pipeline(pipeline, rate, 0.0, self._duration_s)
            if burst:
                self._draw_pipeline(pipeline, 2 * rate, 8.0, 18.0)
        if flood:
            rate = FULL_LOAD_PER_S["ask"] * self._load * ACCOUNT_SHARES["arbiters"]
            self._draw_pipeline("ask", 4 * rate, 8.0, 20.0, "arbiters")
        if poison:
            for at_s in POISON_TIMES_S:
                self._add(at_s, "ask", "youth", poison=True)
        self.arrivals.sort(key=lambda arrival: (arrival.at_s, arrival.number))
        return self.arrivals

    def _draw_pipeline(self, pipeline, rate, start_s, end_s, account=None):
        at_s = start_s + self._random.expovariate(rate)
        while at_s < end_s:
            self._add(at_s, pipeline, account or self._draw_account())
            at_s += self._random.expovariate(rate)

    def _draw_account(self):
        names = list(ACCOUNT_SHARES)
        return self._random.choices(names, list(ACCOUNT_SHARES.values()))[0]

    def _add(self, at_s, pipeline, account, poison=False):
        means = {**SERVICE_WORK_S, **ENGINE_WORK_S}
        work = {stage: self._draw_work(mean) for stage, mean in means.items()}
        topic = min(int(self._random.paretovariate(0.7)), TOPICS)
        prefix = [f"{account}/{i}".encode() for i in range(ACCOUNT_BLOCKS)]
        prefix += [f"{account}/{topic}/{i}".encode() for i in range(TOPIC_BLOCKS)]
        number = len(self.arrivals)
        arrival = Arrival(number, at_s, pipeline, account, work, tuple(prefix), poison)
        self.arrivals.append(arrival)

    def _draw_work(self, mean):
        spread = sqrt(log(1 + VARIATION**2))
        return self._random.lognormvariate(log(mean) - spread**2 / 2, spread)
