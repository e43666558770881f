"""Error-budget burn, attainment and cost per stage of one daemon.

Counts are kept in memory only: they restart from zero with the daemon, and each
snapshot states the time since which they have been collected.
"""

from firworks.codes import Code
from firworks.kernel.messages import Struct

# Window name, bucket width in seconds, number of buckets.
WINDOWS = (("5m", 10, 30), ("1h", 60, 60), ("6h", 300, 72), ("3d", 3600, 72))
WINDOW_S = {name: width * count for name, width, count in WINDOWS}

MAX_PIPELINES = 64
MAX_STAGES = 16
OTHER = "other"

# Results that do not reflect the quality of service: errors and limits of the caller,
# and accepted deferred requests, whose responses are counted on delivery.
EXCLUDED = frozenset(
    {
        Code.ACCEPTED,
        Code.MALFORMED_REQUEST,
        Code.UNAUTHENTICATED,
        Code.UNKNOWN_PIPELINE,
        Code.BODY_TOO_LARGE,
        Code.HEADERS_TOO_LARGE,
        Code.REQUEST_TIMEOUT,
        Code.IDEMPOTENCY_KEY_REQUIRED,
        Code.IDEMPOTENCY_KEY_REUSED,
        Code.IDEMPOTENCY_KEY_EXPIRED,
        Code.RATE_LIMITED,
        Code.CONCURRENCY_LIMITED,
        Code.UNKNOWN_RESULT,
        Code.FORBIDDEN,
        Code.RESOLVED_NOT_RUN,
        Code.CANCELLED,
    }
)


class StageSum(Struct):
    """Total cost of a stage: `seconds` of target time and `price`."""

    __slots__ = ("stage", "seconds", "price")
    DEFAULTS = {"seconds": 0.0, "price": 0.0}


class WindowSum(Struct):
    """Counts of one window.

    Attributes:
        window (str): Name of the window, one of ``WINDOW_S``.
        total (int): Requests that count towards the objective.
        met (int): Of these, completed within their deadline.
        excluded (int): Requests that do not count towards the objective.
        stages (tuple of StageSum): Cost per stage.
    """

    __slots__ = ("window", "total", "met", "excluded", "stages")
    DEFAULTS = {"total": 0, "met": 0, "excluded": 0, "stages": ()}


class PipelineBurn(Struct):
    """A pipeline's `objective` (float) and `windows` (tuple of WindowSum)."""

    __slots__ = ("pipeline", "objective", "windows")


class BurnSnapshot(Struct):
    """The counts of one daemon at one point in time.

    Attributes:
        daemon (str): Name of the daemon.
        incarnation (str): Changes with each restart of the daemon.
        version (int): Configuration version that defines the objectives.
        taken_s (float): Wall time of the snapshot, in seconds since the epoch.
        since_s (float): Wall time at which counting began, in seconds since the epoch.
        pipelines (tuple of PipelineBurn): Sorted by name.
    """

    __slots__ = ("daemon", "incarnation", "version", "taken_s", "since_s", "pipelines")


class _Bucket:
    __slots__ = ("index", "total", "met", "excluded", "stages")

    def __init__(self):
        self.clear(-1)

    def clear(self, index):
        self.index = index
        self.total = 0
        self.met = 0
        self.excluded = 0
        self.stages = {}

    def add(self, finished):
        if finished.code in EXCLUDED or not finished.counted:
            self.excluded += 1
        else:
            self.total += 1
            self.met += bool(finished.met)
        for cost in finished.costs:
            name = _bound_name(cost.stage, self.stages, MAX_STAGES)
            seconds, price = self.stages.get(name, (0.0, 0.0))
            self.stages[name] = (seconds + cost.seconds, price + cost.price)


class _Ring:
    """Ring buffer of the buckets of one window."""

    __slots__ = ("name", "width_s", "buckets", "newest")

    def __init__(self, name, width_s, count):
        self.name = name
        self.width_s = width_s
        self.buckets = [_Bucket() for _ in range(count)]
        self.newest = 0

    def advance(self, wall_s):
        # If the wall clock steps back, requests count in the newest bucket.
        self.newest = max(self.newest, int(wall_s // self.width_s))
        return self.newest

    def add(self, finished, wall_s):
        index = self.advance(wall_s)
        bucket = self.buckets[index % len(self.buckets)]
        if bucket.index != index:
            bucket.clear(index)
        bucket.add(finished)

    def sum(self, wall_s):
        oldest = self.advance(wall_s) - len(self.buckets)
        current = [bucket for bucket in self.buckets if bucket.index > oldest]
        return WindowSum(
            self.name,
            total=sum(bucket.total for bucket in current),
            met=sum(bucket.met for bucket in current),
            excluded=sum(bucket.excluded for bucket in current),
            stages=_sum_stages(current),
        )


class BurnRecorder:
    """Counts finished requests per pipeline and window, in bounded memory.

    Args:
        daemon (str): Name of the daemon.
        incarnation (str): Incarnation of the daemon.
        wall_s (float): Wall time of the start, in seconds since the epoch.
    """

    def __init__(self, daemon, incarnation, wall_s):
        self.daemon = daemon
        self.incarnation = incarnation
        self.since_s = wall_s
        self.version = 0
        self._objectives = {}
        self._rings = {}

    def set_document(self, version, document):
        """Apply the objectives of a newly accepted configuration.

        Counts of pipelines that it no longer defines are discarded.
        """
        self.version = version
        self._objectives = {
            name: pipeline.objective for name, pipeline in document.pipelines.items()
        }
        for name in list(self._rings):
            if name not in self._objectives and name != OTHER:
                del self._rings[name]

    def record(self, finished, wall_s):
        """Count one finished request.

        Args:
            finished (RequestFinished): Its result and cost.
            wall_s (float): Wall time of the end, in seconds since the epoch.
        """
        name = _bound_name(finished.pipeline or OTHER, self._rings, MAX_PIPELINES)
        rings = self._rings.get(name)
        if rings is None:
            rings = self._rings[name] = [_Ring(*window) for window in WINDOWS]
        for ring in rings:
            ring.add(finished, wall_s)

    def take_snapshot(self, wall_s):
        """Return the counts at `wall_s` as a `BurnSnapshot`."""
        pipelines = tuple(
            PipelineBurn(
                name,
                self._objectives.get(name, 0.0),
                tuple(ring.sum(wall_s) for ring in self._rings[name]),
            )
            for name in sorted(self._rings)
        )
        return BurnSnapshot(
            self.daemon, self.incarnation, self.version, wall_s, self.since_s, pipelines
        )


def _bound_name(name, known, limit):
    """Return `name`, or ``OTHER`` when it is new and `known` is full."""
    if name in known or len(known) < limit - 1:
        return name
    return OTHER


def _sum_stages(buckets):
    sums = {}
    for bucket in buckets:
        for name, (seconds, price) in bucket.stages.items():
            total = sums.get(name, (0.0, 0.0))
            sums[name] = (total[0] + seconds, total[1] + price)
    return tuple(StageSum(name, *sums[name]) for name in sorted(sums))
