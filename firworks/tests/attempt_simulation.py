"""A simulation of gateways that send idempotent requests to a plain service."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from firworks.kernel.attempts.policy import ExtraAttemptPolicy, SlowAttempt, list_checks
from firworks.kernel.forwarding.balancer import Balancer
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.retry_budget import RetryBudget

SERVICE = "loans"
MAX_ATTEMPTS = 2
DEADLINE_S = 10.0


class SimulatedTarget:
    """A target with slots and a queue.

    Attributes:
        target (Target): How gateways know it.
        slowdown (float): Factor of its service times.
        paused (bool): It takes requests and answers none.
    """

    def __init__(self, number, slots):
        domain = f"fd-{number % 3}"
        address = f"10.0.0.{number}:1"
        self.target = Target(
            f"t{number}", SERVICE, address, domain, "v1", slots, False, 0, 0.0
        )
        self.slowdown = 1.0
        self.paused = False
        self.running = set()
        self.queue = []


class SimulatedGateway:
    """A gateway with the product's balancer, retry budget and policy."""

    def __init__(self, number, share, members, seed):
        rng = Random(f"{seed}/{number}")
        self.balancer = Balancer(f"fd-{number % 3}", rng)
        self.budget = RetryBudget(0.2, 100.0, 10.0)
        self.budget.set_members(members)
        self.policy = ExtraAttemptPolicy(share, 0.95, self.budget)
        self.members = members
        self.alive = True


class SimulatedRequest:
    """A request with its attempts."""

    def __init__(self, rng, gateway, arrived_s):
        self.rng = rng
        self.gateway = gateway
        self.arrived_s = arrived_s
        self.answered_s = None
        self.attempts = []


class SimulatedAttempt:
    """One attempt of a request."""

    def __init__(self, request, target, work_s, tracked):
        self.request = request
        self.target = target
        self.work_s = work_s
        self.tracked = tracked
        self.over = False


class AttemptSimulation:
    """Runs requests until a time; all random numbers come from a seed.

    Args:
        share (float): The operator's share of extra attempts; 0 for none.
        gateways (int): Number of gateways.
        targets (int): Number of targets.
        slots (int): Slots of each target.
        rate_per_s (float): Requests of all gateways per second.
        seed (int): Seed.
        limited (bool): The limits and the load are considered.
        at_once (bool): All requests are sent twice, without waiting.
        drops (bool): Targets stop work on a request when its connection is closed.

    Attributes:
        latencies (list of (float, float)): Arrival and latency of answered requests.
        extras (list of float): Times of extra attempts.
        arrivals (list of float): Times of arrivals.
        refusals (dict of str to int): Extra attempts refused, by reason.
    """

    def __init__(
        self,
        share,
        gateways,
        targets,
        slots,
        rate_per_s,
        seed=1,
        limited=True,
        at_once=False,
        drops=True,
    ):
        self._seed, self._arrival_rng = seed, Random(seed)
        self.targets = [SimulatedTarget(n, slots) for n in range(targets)]
        self.gateways = [
            SimulatedGateway(n, share, gateways, seed) for n in range(gateways)
        ]
        self.by_id = {one.target.target_id: one for one in self.targets}
        self.rate_per_s = rate_per_s
        self.latencies, self.extras, self.arrivals, self.refusals = [], [], [], {}
        self.unanswered = 0
        self._limited, self._at_once, self._drops = limited, at_once, drops
        self._events, self._order = [], count()

    def run(self, until_s, changes=()):
        """Run until a time; ``changes`` are pairs of a time and a function to call."""
        for at_s, function in changes:
            self._schedule(at_s, lambda now, function=function: function(self))
        self._schedule(0.0, self._arrive)
        while self._events and self._events[0][0] < until_s:
            now, _, function = heappop(self._events)
            function(now)
        return self

    def get_quantile(self, share, since_s=0.0):
        """Return a quantile of the latencies of requests that arrived since a time."""
        values = sorted(took for at, took in self.latencies if at >= since_s)
        return values[min(int(share * len(values)), len(values) - 1)]

    def _schedule(self, at_s, function):
        heappush(self._events, (at_s, next(self._order), function))

    def _arrive(self, now):
        pause_s = self._arrival_rng.expovariate(self.rate_per_s)
        self._schedule(now + pause_s, self._arrive)
        gateway = self._arrival_rng.choice([one for one in self.gateways if one.alive])
        # Each request has its own numbers, so that runs with and without extra attempts
        # differ by these only.
        rng = Random(f"{self._seed}/{len(self.arrivals)}")
        request = SimulatedRequest(rng, gateway, now)
        self.arrivals.append(now)
        gateway.budget.record_request(SERVICE, now)
        gateway.policy.record_request(SERVICE)
        self._schedule(now + DEADLINE_S, lambda at: self._expire(request, at))
        attempt = self._send(request, now)
        if self._at_once:
            self.extras.append(now)
            self._send(request, now)
            return
        usual_s = attempt.tracked.usual_s
        if usual_s is not None:
            checks = list_checks(usual_s, DEADLINE_S)
            self._schedule_check(attempt, checks, now)

    def _send(self, request, now):
        gateway = request.gateway
        tried = {one.target.target.incarnation for one in request.attempts}
        chosen = gateway.balancer.choose(
            [one.target for one in self.targets], tried, now
        )
        gateway.balancer.begin(chosen)
        target = self.by_id[chosen.target_id]
        work_s = 0.02 + request.rng.expovariate(1 / 0.03)
        tracked = gateway.policy.begin(SERVICE, "get", now)
        attempt = SimulatedAttempt(request, target, work_s * target.slowdown, tracked)
        request.attempts.append(attempt)
        target.queue.append(attempt)
        self._start_next(target, now)
        return attempt

    def _start_next(self, target, now):
        while target.queue and len(target.running) < target.target.slots:
            attempt = target.queue.pop(0)
            target.running.add(attempt)
            if not target.paused:
                done_s = now + attempt.work_s
                self._schedule(done_s, lambda at, one=attempt: self._finish(one, at))

    def _schedule_check(self, attempt, checks, sent_s):
        after_s = next(checks, None)
        if after_s is None:
            return

        def check(now):
            if not attempt.over and not self._check(attempt, now):
                self._schedule_check(attempt, checks, sent_s)

        self._schedule(sent_s + after_s, check)

    def _check(self, attempt, now):
        """Send a request once more if the limits allow it; return whether they do."""
        request, gateway = attempt.request, attempt.request.gateway
        is_first = not attempt.tracked.is_slow
        gateway.policy.mark_slow(attempt.tracked, now)
        slow = SlowAttempt(
            SERVICE,
            True,
            False,
            False,
            len(request.attempts),
            MAX_ATTEMPTS,
            attempt.tracked.usual_s,
            request.arrived_s + DEADLINE_S,
            gateway.members,
            sum(one.target.slots for one in self.targets),
            len(self.targets) - 1,
        )
        reason = None
        if self._limited:
            reason = gateway.policy.find_obstacle(slow, now)
            reason = reason or gateway.policy.try_withdraw(SERVICE, is_first, now)
        if reason is None:
            self.extras.append(now)
            self._send(request, now)
        else:
            self.refusals[reason] = self.refusals.get(reason, 0) + 1
        return reason is None

    def _finish(self, attempt, now):
        self._free(attempt, now)
        if attempt.over:
            return
        request = attempt.request
        request.answered_s = now
        self.latencies.append((request.arrived_s, now - request.arrived_s))
        for one in request.attempts:
            self._end(one, one is attempt, now)

    def _expire(self, request, now):
        if request.answered_s is None:
            self.unanswered += 1
            self.latencies.append((request.arrived_s, DEADLINE_S))
            for one in request.attempts:
                self._end(one, False, now)

    def _end(self, attempt, answered, now):
        if attempt.over:
            return
        attempt.over = True
        gateway, target = attempt.request.gateway, attempt.target
        gateway.policy.end(attempt.tracked, answered, now)
        elapsed_s = now - attempt.tracked.begun_s
        held = not answered and len(attempt.request.attempts) > 1
        failed = held and attempt.tracked.is_held(now)
        gateway.balancer.end(target.target, failed, elapsed_s, now)
        if attempt in target.queue:
            target.queue.remove(attempt)
        elif self._drops or target.paused:
            self._free(attempt, now)

    def _free(self, attempt, now):
        """Free the slot of an attempt."""
        if attempt in attempt.target.running:
            attempt.target.running.discard(attempt)
            self._start_next(attempt.target, now)
