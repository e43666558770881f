"""The operator's configuration of routes, services and client accounts."""

from firworks.kernel.messages import Struct

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"


class StageSpec(Struct):
    """One stage that precedes the requests of a route.

    Attributes:
        service (str): Makes the stage's results.
        after (tuple of int): Stages whose results it needs.
        result_bytes (int): Approximate size of one result.
    """

    __slots__ = ("service", "after", "result_bytes")


class Route(Struct):
    """Where requests of a host and path prefix go, and how.

    Attributes:
        name (str): Unique in the configuration.
        host (str): Value of the Host header.
        prefix (str): Begins and ends with a slash.
        kind (str): ``IDEMPOTENT``, ``NON_IDEMPOTENT`` or ``STREAMING``.
        timeout_s (float): Longest time that a caller is kept waiting.
        goal_s (float): Time within which an answer is on time.
        priority (int): 0 is the most urgent.
        services (tuple of (str, float)): Services with their weights.
        max_attempts (int): Most targets that one request may be sent to.
        stages (tuple of StageSpec): By number.
        public (bool): No key is needed.
        resumable (bool): A broken stream may go on at another target.
        gap_s (float): Longest pause between events that is on time; 0 if unknown.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_s",
        "goal_s",
        "priority",
        "services",
        "max_attempts",
        "stages",
        "public",
        "resumable",
        "gap_s",
    )

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAMING and self.resumable)

    @property
    def streaming(self):
        """Whether the answer is a stream of events."""
        return self.kind == STREAMING


class EngineSpec(Struct):
    """What each engine of a service can do.

    Attributes:
        slots (int): Requests that run at once.
        memory_tokens (int): Tokens that fit into its KV cache.
        cold_per_s (float): Requests a second that it bears while it is cold; 0 for any.
    """

    __slots__ = ("slots", "memory_tokens", "cold_per_s")


class StagePoolSpec(Struct):
    """What each target of a stage's service can do.

    Attributes:
        slots (int): Calls in progress at once.
        queue (int): Calls that may wait.
        batch (int): Most pieces in one call.
        call_s (float): Time of a call before its pieces.
        piece_s (float): Approximate further time of each piece.
        memory_bytes (int): Room for results.
        result_ttl_s (float): How long a result is kept after its call.
    """

    __slots__ = (
        "slots",
        "queue",
        "batch",
        "call_s",
        "piece_s",
        "memory_bytes",
        "result_ttl_s",
    )

    def estimate_call_s(self, count):
        """Return the seconds of a call for some pieces at a target of usual speed."""
        return self.call_s + count * self.piece_s


class Service(Struct):
    """A pool of targets.

    Attributes:
        name (str): Unique in the configuration.
        health_path (str): Path of its targets' health check.
        max_connections (int): What a target accepts from all daemons together.
        engine (EngineSpec or None): For model engines.
        stage_pool (StagePoolSpec or None): For services that stages use.
    """

    __slots__ = ("name", "health_path", "max_connections", "engine", "stage_pool")


class CallerLimits(Struct):
    """Bounds on what callers send and how long they take.

    Attributes:
        header_bytes (int): Longest header section.
        body_bytes (int): Longest body.
        header_timeout_s (float): Time for the header section.
        idle_timeout_s (float): Time that a connection may stay idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")


class Account(Struct):
    """A client account.

    Attributes:
        name (str): Unique in the configuration.
        priority (int or None): Goes before a route's priority.
    """

    __slots__ = ("name", "priority")


class Configuration:
    """One version of the configuration; immutable once built.

    Args:
        version (int): Rises with each change.
        routes (iterable of Route): In any order.
        services (iterable of Service): In any order.
        limits (CallerLimits): Bounds on callers.
        accounts_by_key (dict of str to Account): Every valid key.
        keyed (bool): Requests need a key unless their route is public.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "accounts_by_key",
        "keyed",
        "_by_host",
    )

    def __init__(self, version, routes, services, limits, accounts_by_key, keyed):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.accounts_by_key = accounts_by_key
        self.keyed = keyed
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes_of_host in self._by_host.values():
            routes_of_host.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host, path):
        """Return the `Route` with the longest matching prefix, or None.

        Args:
            host (str): Value of the Host header.
            path (str): Path of the request, without its query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


# Lower than any version of a configuration.
NO_VERSION = -1


class ConfigurationHolder:
    """The configuration in force; its version never falls within a process.

    Attributes:
        current (Configuration or None): None until one has been learned.
    """

    __slots__ = ("current",)

    def __init__(self):
        self.current = None

    @property
    def version(self):
        """The version in force (int), or ``NO_VERSION``."""
        return NO_VERSION if self.current is None else self.current.version

    def offer(self, configuration):
        """Put a configuration in force unless it is older; return whether it is new."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        return True
