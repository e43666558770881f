"""Data model of the configuration: routes, services and client accounts."""

from firworks.kernel.messages import Struct

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"


class StageSpec(Struct):
    """One processing stage that runs before the requests of a route are forwarded.

    Attributes:
        service (str): Name of the service that computes the stage's results.
        after (tuple of int): Numbers of the stages whose results it needs.
        result_bytes (int): Approximate size of one result.
    """

    __slots__ = ("service", "after", "result_bytes")


class Route(Struct):
    """How requests of one host and path prefix are forwarded.

    Attributes:
        name (str): Unique in the configuration.
        host (str): Value of the Host header.
        prefix (str): Begins and ends with a slash.
        kind (str): ``IDEMPOTENT``, ``NON_IDEMPOTENT`` or ``STREAMING``.
        timeout_s (float): Longest time until a request times out.
        goal_s (float): Latency goal of a response.
        priority (int): 0 is the most urgent.
        services (tuple of (str, float)): Services with their weights.
        max_attempts (int): Maximum number of targets that a request may be sent to.
        stages (tuple of StageSpec): Indexed by stage number.
        public (bool): Requests need no API key.
        resumable (bool): A broken stream may be resumed at another target.
        gap_s (float): Latency goal of the gap between two events; 0 if unknown.
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
        """Whether a request may be executed more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAMING and self.resumable)

    @property
    def streaming(self):
        """Whether the response is a stream of events."""
        return self.kind == STREAMING


class EngineSpec(Struct):
    """Capacity of each engine of a service.

    Attributes:
        slots (int): Maximum number of concurrent requests.
        memory_tokens (int): Capacity of its KV cache in tokens.
        cold_per_s (float): Maximum requests per second while it is cold; 0 for no
            limit.
    """

    __slots__ = ("slots", "memory_tokens", "cold_per_s")


class StagePoolSpec(Struct):
    """Capacity and cost model of each target of a stage's service.

    Attributes:
        slots (int): Maximum number of concurrent calls.
        queue (int): Maximum number of queued calls.
        batch (int): Maximum number of pieces in one call.
        call_s (float): Fixed time of a call.
        piece_s (float): Approximate additional time for each piece.
        memory_bytes (int): Memory for results.
        result_ttl_s (float): Time that a result is kept after its call.
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
        """Return the expected seconds of a call with some pieces at nominal speed."""
        return self.call_s + count * self.piece_s


class Service(Struct):
    """A pool of targets.

    Attributes:
        name (str): Unique in the configuration.
        health_path (str): HTTP path of its targets' health check.
        max_connections (int): Connections that a target accepts from all daemons
            together.
        engine (EngineSpec or None): For model engines.
        stage_pool (StagePoolSpec or None): For services that run stages.
    """

    __slots__ = ("name", "health_path", "max_connections", "engine", "stage_pool")


class CallerLimits(Struct):
    """Size and time limits for callers' requests.

    Attributes:
        header_bytes (int): Maximum size of the header section.
        body_bytes (int): Maximum size of the body.
        header_timeout_s (float): Time allowed for the header section.
        idle_timeout_s (float): Time after which an idle connection is closed.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")


class Account(Struct):
    """A client account.

    Attributes:
        name (str): Unique in the configuration.
        priority (int or None): Overrides the priority of the route.
        keys (tuple of str): Its valid API keys; none while all are revoked.
        weight (float): Weight of its share of pools, where accounts have shares.
    """

    __slots__ = ("name", "priority", "keys", "weight")
    DEFAULTS = {"weight": 1.0}


class Configuration:
    """One version of the configuration; immutable once built.

    Args:
        version (int): Increases with each change.
        routes (iterable of Route): In any order.
        services (iterable of Service): In any order.
        limits (CallerLimits): Limits for callers' requests.
        accounts (iterable of Account): The client accounts.

    Attributes:
        services (dict of str to Service): By name; the last one of several.
        all_services (tuple of Service): As given.
        accounts (tuple of Account): As given.
        accounts_by_key (dict of str to Account): Client accounts by valid API key.
        requires_keys (bool): Requests need an API key unless their route is public. So
            it is as soon as there are client accounts, even if none has a valid key.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "all_services",
        "limits",
        "accounts",
        "accounts_by_key",
        "requires_keys",
        "_by_host",
    )

    def __init__(self, version, routes, services, limits, accounts):
        self.version = version
        self.routes = tuple(routes)
        self.all_services = tuple(services)
        self.services = {service.name: service for service in self.all_services}
        self.limits = limits
        self.accounts = tuple(accounts)
        self.accounts_by_key = {key: one for one in self.accounts for key in one.keys}
        self.requires_keys = bool(self.accounts)
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


# Lower than the version of any configuration.
NO_VERSION = -1


class ConfigurationHolder:
    """Holds the active configuration; its version never decreases within a process.

    Attributes:
        current (Configuration or None): None until one has been loaded.
    """

    __slots__ = ("current",)

    def __init__(self):
        self.current = None

    @property
    def version(self):
        """Version of the active configuration (int), or ``NO_VERSION``."""
        return NO_VERSION if self.current is None else self.current.version

    def apply_if_newer(self, configuration):
        """Activate a configuration if its version is higher; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        return True
