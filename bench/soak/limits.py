"""Lets targets name limits of requests per second, and checks that they are kept."""

import asyncio

from bench.soak.gateways import STARTED
from bench.soak.notices import DISTURBED
from bench.soak.site import SERVICES
from firworks.tests.limit_rule import (
    INFORMED_AFTER_S,
    STABLE_S,
    WINDOW_S,
    compute_allowed,
    count_most,
)

HEADER = "Server-Limit"
LIMITS = ("0", "0.5", "1", "2", "5", "20")
# Mean time from one series of limits to the next.
INTERVAL_S = 3.0
SHORTEST_S = STABLE_S + WINDOW_S
LONGEST_S = 10.0
CHANGED_SHARE = 0.3
ALL_TARGETS_SHARE = 0.4


class LimitPlan:
    """Draws limits from a seed: of one target or a whole service, some of them moving.

    Args:
        site (Site): Its targets name the limits.
        rng (random.Random): Decides everything.
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._running = set()

    async def run(self):
        """Let targets name limits until this is cancelled, and then no more."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / INTERVAL_S))
                task = asyncio.ensure_future(self._limit_service())
                self._running.add(task)
                task.add_done_callback(self._running.discard)
        finally:
            for task in self._running:
                task.cancel()
            for target in self._site.targets.values():
                target.limit = None

    async def _limit_service(self):
        service, _ = self._rng.choice(SERVICES)
        targets = [one for one in self._site.list_serving() if one.service == service]
        if self._rng.random() >= ALL_TARGETS_SHARE:
            targets = [self._rng.choice(targets)]
        end_s = self._site.clock() + self._rng.uniform(SHORTEST_S, LONGEST_S)
        while self._site.clock() < end_s:
            limit = self._rng.choice(LIMITS)
            for target in targets:
                target.limit = limit
            changes = self._rng.random() < CHANGED_SHARE
            length_s = self._rng.uniform(0.5, WINDOW_S) if changes else LONGEST_S
            await asyncio.sleep(min(length_s, max(0.0, end_s - self._site.clock())))
        for target in targets:
            target.limit = None


def check_limits(sent, site, plan, gateways):
    """Targets that name a limit get no more than the platform's rule allows.

    A gateway that was killed, paused or started since the target named its first limit
    is excused, and so is a target whose way was harmed. Requests that have no id, as
    calls of stages, count while no gateway is excused.

    Args:
        sent (dict of str to (str, float)): Gateway and time of each try, by its id.
        site (Site): Its targets know what arrived and what they named.
        plan (FaultPlan): What was harmed.
        gateways (dict of str to GatewayProcess): The gateways.
    """
    broken = []
    for target_id, arrivals, told in site.list_announced():
        named = [(one[0], one[1], float(one[3])) for one in told if one[2] == HEADER]
        for begin_s, end_s in list_spans(named):
            if plan.was_harmed(begin_s, end_s, ("way to target",)):
                continue
            excused = {
                name
                for name, gateway in gateways.items()
                if gateway.was_disturbed(
                    begin_s - STABLE_S, end_s, (*DISTURBED, STARTED)
                )
            }
            counted = [
                time_s
                for time_s, name in arrivals
                if begin_s + STABLE_S < time_s <= end_s
                and counts(time_s, name, named, sent, excused)
            ]
            limits = [limit for time_s, _, limit in named if begin_s <= time_s <= end_s]
            most = count_most(counted)
            if most > compute_allowed(max(limits)):
                broken.append(
                    f"{target_id} got {most} requests in {WINDOW_S:.0f} s with a limit "
                    f"of {max(limits)} from {begin_s:.1f} to {end_s:.1f} s"
                )
    return broken


def list_spans(named):
    """Return the (begin_s, end_s) spans (list) in which a target named limits.

    A target that names none for ``WINDOW_S`` may have withdrawn its limit.
    """
    spans = []
    for time_s, _, _ in sorted(named):
        if spans and time_s - spans[-1][1] < WINDOW_S:
            spans[-1] = (spans[-1][0], time_s)
        else:
            spans.append((time_s, time_s))
    return spans


def counts(time_s, name, named, sent, excused):
    """Return whether a request counts against a limit."""
    if name not in sent:
        return not excused
    gateway = sent[name][0]
    return gateway not in excused and any(
        named_s + INFORMED_AFTER_S <= time_s and sent[other][0] == gateway
        for named_s, other, _ in named
        if other in sent
    )
