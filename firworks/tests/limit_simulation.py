"""Simulates daemons that share the limits of targets, with a virtual clock."""

import heapq
from itertools import count
from random import Random

from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.pools.clients import SendTo
from firworks.kernel.pools.messages import MemberEntry
from firworks.kernel.pools.roster import Roster
from firworks.kernel.target_limits.coordinator import ProbeTarget
from firworks.kernel.target_limits.limiter import TargetLimiter
from firworks.kernel.target_limits.permit_requests import PermitDecided

SERVICE = "loans"
TICK_S = 0.1
LATENCY_S = 0.001
RESPONSE_S = 0.05
MIN_WAIT_S = 0.001


class SimulatedTarget:
    """A target that names a limit.

    Attributes:
        incarnation (tuple): Its id and start time.
        limit (float or None): What its responses name.
        delay_s (float): Time until a response.
        arrivals (list of (float, str)): When requests arrived, and from whom.
    """

    def __init__(self, incarnation, limit=None):
        self.incarnation = incarnation
        self.limit = limit
        self.delay_s = RESPONSE_S
        self.arrivals = []


class CallerRequest:
    """One request of a caller.

    Attributes:
        daemon (str): Where it arrived.
        sent_s (float): When.
        priority (int): Its priority.
        started_s (float or None): When it was sent to a target.
        refused_s (float or None): When it was refused.
        retry_after_s (float or None): When its caller should return.
    """

    def __init__(self, daemon, sent_s, priority):
        self.daemon = daemon
        self.sent_s = sent_s
        self.priority = priority
        self.started_s = None
        self.refused_s = None
        self.retry_after_s = None


class SimulatedDaemon:
    """One daemon: its roster, its limiter and the requests that it holds."""

    def __init__(self, name, incarnation, seed):
        entry = MemberEntry(name, incarnation, "", "fd", 1.0)
        self.name = name
        self.roster = Roster(entry)
        self.limiter = TargetLimiter(self.roster, Random(f"{seed}/{incarnation}"))
        self.held = {}
        self.wake_s = float("inf")
        self.frozen = False
        self.alive = True


class LimitSimulation:
    """Daemons, targets and callers.

    Args:
        daemons (int): Number of daemons.
        limits (iterable of float or None): What each target names.
        seed (int): Of all random numbers.
    """

    def __init__(self, daemons, limits, seed=1):
        self.now = 0.0
        self.rng = Random(seed)
        self.targets = [
            SimulatedTarget((f"target-{number}", 0), limit)
            for number, limit in enumerate(limits)
        ]
        self.requests = []
        self.messages = 0
        self._seed = seed
        self._events = []
        self._order = count()
        self._starts = count()
        self._cuts = set()
        self._backlog = {}
        self.daemons = {}
        for number in range(daemons):
            self._add(f"daemon-{number}")
        for daemon in self.daemons.values():
            self._introduce(daemon)

    def start_daemon(self, name):
        """Start a daemon, again or for the first time; it knows no limits."""
        self._add(name)
        daemon = self.daemons[name]
        for other in self.daemons.values():
            if other is not daemon and other.alive:
                other.roster.put(daemon.roster.own)
                daemon.roster.put(other.roster.own)
                for record in other.limiter.describe_all(self.now):
                    self._transmit(other.name, name, record)

    def kill(self, name):
        """End a daemon; the others still list it."""
        self.daemons[name].alive = False

    def freeze(self, name, for_s):
        """Stop a daemon for some time; messages to it wait."""
        self.daemons[name].frozen = True
        self.at(self.now + for_s, lambda: self._thaw(name))

    def cut(self, names, for_s):
        """Cut some daemons off from all others, but not from the targets."""
        pairs = {
            pair
            for name in names
            for other in self.daemons
            if other not in names
            for pair in ((name, other), (other, name))
        }
        self._cuts |= pairs
        self.at(self.now + for_s, lambda: self._cuts.difference_update(pairs))

    def get_coordinator(self):
        """Return the name of the daemon that ranks first."""
        return next(iter(self.daemons.values())).roster.rank(SERVICE)[0]

    def add_load(self, rate_per_s, begin_s, end_s, choose=None, priority=1, left_s=4.0):
        """Add callers' requests, at random times.

        Args:
            rate_per_s (float): Requests per second.
            begin_s (float): From when.
            end_s (float): Until when.
            choose (callable): ``choose(rng)`` returns the daemon's name; any if None.
            priority (int): Of all of them.
            left_s (float): Time until their deadline.
        """
        names = list(self.daemons)
        choose = choose or (lambda rng: rng.choice(names))
        time_s = begin_s
        while (time_s := time_s + self.rng.expovariate(rate_per_s)) < end_s:
            name = choose(self.rng)
            self.at(time_s, lambda name=name: self._arrive(name, priority, left_s))

    def at(self, time_s, function):
        """Call a function at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), function))

    def run(self, until_s):
        """Play until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, function = heapq.heappop(self._events)
            function()
        self.now = until_s

    def list_arrivals(self, target, begin_s=0.0, end_s=float("inf")):
        """Return the times (list of float) of a target's requests."""
        return [time_s for time_s, _ in target.arrivals if begin_s <= time_s < end_s]

    def _add(self, name):
        incarnation = f"{name}.{next(self._starts)}"
        daemon = SimulatedDaemon(name, incarnation, self._seed)
        self.daemons[name] = daemon
        self.at(self.now + self.rng.uniform(0.0, TICK_S), lambda: self._tick(daemon))

    def _introduce(self, daemon):
        for other in self.daemons.values():
            daemon.roster.put(other.roster.own)

    def _thaw(self, name):
        self.daemons[name].frozen = False
        for function in self._backlog.pop(name, ()):
            self.at(self.now, function)

    def _tick(self, daemon):
        if not daemon.alive or self.daemons[daemon.name] is not daemon:
            return
        if not daemon.frozen:
            self._execute(daemon, daemon.limiter.tick(self.now))
        self.at(self.now + TICK_S, lambda: self._tick(daemon))

    def _wake(self, daemon):
        daemon.wake_s = float("inf")
        if daemon.alive and not daemon.frozen:
            self._execute(daemon, daemon.limiter.plan(self.now))

    def _execute(self, daemon, actions):
        for action in actions:
            if isinstance(action, SendTo):
                self._transmit(daemon.name, action.peer, action.record)
            elif isinstance(action, PermitDecided):
                self._decide(daemon, action)
            elif isinstance(action, ProbeTarget):
                self._send(daemon, action.incarnation)
        due_s = daemon.limiter.next_due_s(self.now)
        if due_s is None or due_s >= daemon.wake_s:
            return
        daemon.wake_s = max(due_s, self.now + MIN_WAIT_S)
        self.at(daemon.wake_s, lambda: self._wake(daemon))

    def _transmit(self, sender, receiver, record):
        self.messages += 1
        if (sender, receiver) in self._cuts:
            return
        record = decode_record(encode_record(record))
        known = self.daemons[receiver]
        self.at(self.now + LATENCY_S, lambda: self._receive(known, sender, record))

    def _receive(self, daemon, sender, record):
        if not daemon.alive:
            return
        if daemon.frozen:
            again = lambda: self._receive(daemon, sender, record)  # noqa: E731
            self._backlog.setdefault(daemon.name, []).append(again)
            return
        self._execute(daemon, daemon.limiter.receive(record, sender, self.now))

    def _arrive(self, name, priority, left_s):
        daemon = self.daemons[name]
        if not daemon.alive or daemon.frozen:
            return
        request = CallerRequest(name, self.now, priority)
        self.requests.append(request)
        incarnations = [target.incarnation for target in self.targets]
        limiter = daemon.limiter
        free = [one for one in incarnations if limiter.get_rate(one) is None]
        ready = [one for one in incarnations if limiter.get_wait_s(one, self.now) == 0]
        if free:
            chosen = self.rng.choice(ready)
            limiter.take(chosen, self.now)
            limited = [one for one in incarnations if one not in free]
            if limited:
                self._execute(daemon, limiter.prefetch(SERVICE, limited, self.now))
            self._start(daemon, request, chosen)
            return
        number, actions = limiter.request(
            SERVICE, incarnations, priority, self.now + left_s, self.now
        )
        daemon.held[number] = request
        self._execute(daemon, actions)

    def _decide(self, daemon, decision):
        request = daemon.held.pop(decision.number)
        if decision.incarnation is None:
            request.refused_s = self.now
            request.retry_after_s = decision.retry_after_s
        else:
            self._start(daemon, request, decision.incarnation)

    def _start(self, daemon, request, incarnation):
        request.started_s = self.now
        self._send(daemon, incarnation)

    def _send(self, daemon, incarnation):
        """Send a request to a target, and its response back."""
        target = next(one for one in self.targets if one.incarnation == incarnation)
        sent_s = self.now

        def arrive():
            target.arrivals.append((self.now, daemon.name))
            limit = target.limit
            self.at(self.now + target.delay_s, lambda: respond(limit))

        def respond(limit):
            if not daemon.alive or daemon.frozen:
                return
            actions = daemon.limiter.record_response(
                incarnation, SERVICE, limit, sent_s, self.now
            )
            self._execute(daemon, actions)

        self.at(self.now + LATENCY_S, arrive)
