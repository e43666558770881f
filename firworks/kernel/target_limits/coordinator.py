"""Grants the permits of limited targets to all daemons.

Load pattern: a limit of one request a second, or of one in two seconds, binds a hundred
daemons together, and all callers may be at one of them. A share for each daemon would
be idle at most of them, and a burst allowance for each would exceed the limit at once.
One daemon, the coordinator of a service, therefore grants each permit, in the order of
priority and deadline.

Load pattern: coordinators are killed, freeze and are partitioned, and daemons disagree
on which one is alive. Each daemon follows one coordinator at a time and tells it so. A
coordinator that most members follow grants the full rate; any other one grants the
share of its followers among the members. So the sum stays below one and a half times
the limit, and an isolated daemon still has its own share of it.
"""

from firworks.kernel.messages import Struct
from firworks.kernel.target_limits.buckets import PermitBucket
from firworks.kernel.target_limits.forecasts import ReturnSchedule, forecast_starts

# A daemon that has not repeated that it follows for this time no longer counts. Daemons
# repeat it every `FOLLOW_INTERVAL_S`.
FOLLOWER_TTL_S = 2.0
FOLLOW_INTERVAL_S = 0.7
# Requests for permits are repeated every `ASK_INTERVAL_S`, and dropped after this time.
ASK_TTL_S = 2.5
ASK_INTERVAL_S = 1.0
# Interval at which waiting requests are checked for those that get no permit in time.
REVIEW_INTERVAL_S = 0.05
# A limited target that got nothing for this time is probed, as it can only withdraw its
# limit in a response.
PROBE_INTERVAL_S = 5.0


class PermitRequest(Struct):
    """A request for a permit that waits for it.

    Attributes:
        peer (str): The daemon that asks.
        number (int): Identifies the request among those of the daemon.
        candidates (tuple of tuple): Incarnations of the targets, any of which will do.
        priority (int): 0 is the most urgent.
        latest_start_s (float): When the permit is of no more use; monotonic seconds.
        refreshed_s (float): When it was last received.
    """

    __slots__ = (
        "peer",
        "number",
        "candidates",
        "priority",
        "latest_start_s",
        "refreshed_s",
    )


class Grant(Struct):
    """A permit to send one request to a target.

    Attributes:
        request (PermitRequest): Whom it is for.
        incarnation (tuple): The target's.
    """

    __slots__ = ("request", "incarnation")


class Denial(Struct):
    """A request for a permit that is rejected.

    Attributes:
        request (PermitRequest): The request.
        retry_after_s (float): When its caller should return.
    """

    __slots__ = ("request", "retry_after_s")


class ProbeTarget(Struct):
    """A target is to be asked for a response, which shows whether it is still limited.

    Attributes:
        incarnation (tuple): The target's.
        service (str): Its service.
    """

    __slots__ = ("incarnation", "service")


class PermitCoordinator:
    """Grants permits to the daemons that follow this one.

    Args:
        limits (NamedLimits): The limits that targets name.
        count_members (callable): Returns the number of members.
        rng (random.Random): Spreads the return of rejected callers.
    """

    def __init__(self, limits, count_members, rng):
        self._limits = limits
        self._count_members = count_members
        self._rng = rng
        self._buckets = {}
        self._waiting = {}
        self._followers = {}
        self._followed_since_s = {}
        self._reviewed_s = float("-inf")
        # Whether requests have arrived since the last review.
        self._review_due = False
        # Latest (time, share) by service, as a plan needs the same one many times.
        self._shares = {}
        self._returns = {}

    @property
    def waiting_count(self):
        """Number of requests that wait for a permit."""
        return len(self._waiting)

    def record_follower(self, peer, services, now):
        """Record that a daemon takes permits from this one, for these services only."""
        self._shares.clear()
        for service, followers in self._followers.items():
            if service not in services:
                followers.pop(peer, None)
        for service in services:
            followers = self._followers.setdefault(service, {})
            if all(time_s <= now - FOLLOWER_TTL_S for time_s in followers.values()):
                self._followed_since_s[service] = now
            followers[peer] = now

    def compute_share(self, service, now):
        """Return the share (float) of a service's limits that may be granted here."""
        computed_s, share = self._shares.get(service, (None, 0.0))
        if computed_s != now:
            followers = self._followers.get(service, {})
            live = sum(time_s > now - FOLLOWER_TTL_S for time_s in followers.values())
            members = max(1, self._count_members())
            share = 1.0 if 2 * live > members else live / members
            self._shares[service] = (now, share)
        return share

    def get_wait_s(self, incarnation, now):
        """Return the seconds until a target has a permit; 0.0 if it has one."""
        bucket, rate_per_s = self._refill(incarnation, now)
        return bucket.get_wait_s(rate_per_s)

    def take(self, incarnation, now):
        """Take a permit for this daemon itself; return whether there was one."""
        return self._refill(incarnation, now)[0].take(now)

    def take_now(self, candidates, now):
        """Take a permit of any of some targets; return its incarnation, or None."""
        for incarnation in candidates:
            self._refill(incarnation, now)
        return self._take_any(candidates, now)

    def submit(self, request):
        """Add a `PermitRequest`, or refresh the one with its peer and number."""
        self._waiting[request.peer, request.number] = request
        self._review_due = True

    def cancel(self, peer, number):
        """Drop the request of a daemon."""
        self._waiting.pop((peer, number), None)

    def plan(self, now):
        """Return the grants and denials that are due (list)."""
        self._drop_stale(now)
        order = sorted(
            self._waiting.values(),
            key=lambda one: (one.priority, one.latest_start_s, one.peer, one.number),
        )
        decisions, left = self._grant(order, now)
        if now >= self._reviewed_s + REVIEW_INTERVAL_S:
            decisions += self._deny_late(left, now)
        for decision in decisions:
            self.cancel(decision.request.peer, decision.request.number)
        return decisions

    def next_due_s(self, now):
        """Return when `plan` should be called again, in monotonic seconds, or None."""
        times_s = [now + self.get_wait_s(one, now) for one in self._list_candidates()]
        times_s = [time_s for time_s in times_s if time_s < float("inf")]
        if self._review_due:
            times_s.append(self._reviewed_s + REVIEW_INTERVAL_S)
        return min(times_s, default=None)

    def list_probes(self, services, now):
        """Return a `ProbeTarget` for each target that got nothing for a while.

        Args:
            services (collection of str): The services that this daemon coordinates.
            now (float): Monotonic seconds.
        """
        probes = []
        for incarnation, limit in self._limits.items():
            if limit.rate_per_s is None or limit.service not in services:
                continue
            bucket, _ = self._refill(incarnation, now)
            share = max(
                self.compute_share(limit.service, now),
                1 / max(1, self._count_members()),
            )
            if now - bucket.granted_s >= PROBE_INTERVAL_S / share:
                bucket.take(now)
                bucket.granted_s = now
                probes.append(ProbeTarget(incarnation, limit.service))
        return probes

    def retain(self, incarnations):
        """Forget all targets but these (set of tuple)."""
        for incarnation in self._buckets.keys() - incarnations:
            del self._buckets[incarnation]

    def find_late(self, order, now):
        """Return the requests (list of tuple) that would get their permits too late.

        Each is returned with the seconds after which its caller should return.

        Args:
            order (list): Requests with ``candidates`` and ``latest_start_s``; the most
                urgent first.
            now (float): Monotonic seconds.
        """
        forecast = self._forecast(order, now)
        served_s = [start for one, start in forecast if start <= one.latest_start_s]
        room_s = max(served_s, default=now)
        return [
            (one, self.book_return(one.candidates, max(room_s, start_s), now))
            for one, start_s in forecast
            if start_s > one.latest_start_s
        ]

    def book_return(self, candidates, room_s, now):
        """Return the seconds after which a rejected caller should return.

        Args:
            candidates (iterable of tuple): Incarnations that may serve the caller.
            room_s (float): When there will be room, in monotonic seconds.
            now (float): Monotonic seconds.
        """
        rate_per_s = sum(self._get_expected_rate(one, now) for one in candidates)
        interval_s = 1 / rate_per_s if rate_per_s > 0.0 else PROBE_INTERVAL_S
        limit = self._limits.get(candidates[0]) if candidates else None
        service = "" if limit is None else limit.service
        schedule = self._returns.setdefault(service, ReturnSchedule(self._rng))
        if room_s == float("inf"):
            room_s = now + PROBE_INTERVAL_S
        return schedule.book(room_s, interval_s, now)

    def _forecast(self, order, now):
        """Return (request, start_s) pairs (list); see `forecast_starts`."""
        candidates = {one for request in order for one in request.candidates}
        free_from_s, interval_s = {}, {}
        for incarnation in candidates:
            bucket, _ = self._refill(incarnation, now)
            rate_per_s = self._get_expected_rate(incarnation, now)
            free_from_s[incarnation] = now + bucket.get_wait_s(rate_per_s)
            interval_s[incarnation] = 1 / rate_per_s if rate_per_s else float("inf")
        return list(forecast_starts(order, free_from_s, interval_s))

    def _grant(self, order, now):
        """Grant the permits that are available; return the grants and all others."""
        for incarnation in self._list_candidates():
            self._refill(incarnation, now)
        available = {one for one in self._list_candidates() if self._is_available(one)}
        grants, left = [], []
        for request in order:
            incarnation = None
            if available and request.latest_start_s > now:
                incarnation = self._take_any(request.candidates, now)
                if incarnation is not None and not self._is_available(incarnation):
                    available.discard(incarnation)
            if incarnation is None:
                left.append(request)
            else:
                grants.append(Grant(request, incarnation))
        return grants, left

    def _deny_late(self, order, now):
        """Deny the requests that would get their permits too late."""
        self._reviewed_s, self._review_due = now, False
        return [Denial(*late) for late in self.find_late(order, now)]

    def _list_candidates(self):
        """Return the incarnations (set) that requests wait for."""
        return {
            incarnation
            for request in self._waiting.values()
            for incarnation in request.candidates
        }

    def _is_available(self, incarnation):
        """Return whether a target, its bucket refilled, takes a request now."""
        unlimited = self._limits.get_rate(incarnation) is None
        return unlimited or self._buckets[incarnation].has_permit

    def _take_any(self, candidates, now):
        """Take a permit of the target with most of them, all buckets being refilled."""
        best, most = None, 0.0
        for incarnation in candidates:
            if self._limits.get_rate(incarnation) is None:
                return incarnation
            permits = self._buckets[incarnation].permits
            if permits > most:
                best, most = incarnation, permits
        return best if best is not None and self._buckets[best].take(now) else None

    def _drop_stale(self, now):
        for key, request in list(self._waiting.items()):
            if request.refreshed_s <= now - ASK_TTL_S:
                del self._waiting[key]

    def _get_rate(self, incarnation, now):
        """Return the permits per second that are granted here for a target."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.rate_per_s is None:
            return 0.0
        return limit.rate_per_s * self.compute_share(limit.service, now)

    def _get_expected_rate(self, incarnation, now):
        """Return the permits per second that will be granted here for a target.

        Most members follow a new coordinator within ``FOLLOWER_TTL_S``.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.rate_per_s is None:
            return 0.0
        since_s = self._followed_since_s.get(limit.service, now)
        if now - since_s < FOLLOWER_TTL_S:
            return limit.rate_per_s
        return self._get_rate(incarnation, now)

    def _refill(self, incarnation, now):
        """Return the refilled bucket of a target, and its rate."""
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = PermitBucket(now)
        rate_per_s = self._get_rate(incarnation, now)
        bucket.refill(rate_per_s, now)
        return bucket, rate_per_s
