"""Metrics of a gateway process; docs/METRICS.md lists them."""

from firworks.kernel.pools.engine_speeds import list_slowest
from firworks.metrics import LabelValues, MetricSet

# Engines of a service whose learned speeds are shown, the slowest of those that had a
# sample within the time.
SHOWN_ENGINES = 16
SHOWN_AGE_S = 60.0
# Accounts that were short of their share of a pool and are named in metrics; each one
# is a time series for each pool. The log names all of them.
MAX_ACCOUNTS = 16


class GatewayMetrics(MetricSet):
    """The metrics of a gateway process.

    Attributes:
        routes (LabelValues): Limits the number of values of the label ``route``.
        services (LabelValues): Limits the number of values of the label ``service``.
        accounts (LabelValues): Limits the number of values of the label ``account``.
    """

    def __init__(self):
        super().__init__()
        self.routes = LabelValues()
        self.services = LabelValues()
        self.accounts = LabelValues(MAX_ACCOUNTS)
        self.answers = self._counter(
            "answers", "Answers to callers, by status.", ("route", "status")
        )
        self.latency = self._histogram(
            "answer_latency_seconds", "From arrival to the end.", ("route",)
        )
        self.first_byte = self._histogram(
            "answer_first_byte_seconds", "From arrival to the head.", ("route",)
        )
        self.limited_callers = self._counter(
            "callers_limited",
            "Connections and requests that a limit on callers ended.",
            ("listener", "reason"),
        )
        self.drain_requests = self._counter(
            "drain_requests",
            "Requests that would outlast a drain, by what was done.",
            ("outcome",),
        )
        self._make_attempt_metrics()
        self._make_pool_metrics()
        self._make_target_metrics()
        self._make_state_metrics()

    def _make_attempt_metrics(self):
        """Make the metrics of attempts at targets, extra ones among them."""
        self.attempts_failed = self._counter(
            "attempts_failed", "Attempts without a usable answer.", ("service", "kind")
        )
        self.extra_attempts = self._counter(
            "extra_attempts",
            "Extra attempts of slow requests, by what became of them.",
            ("service", "outcome"),
        )
        self.extra_refused = self._counter(
            "extra_attempts_refused",
            "Times that a slow request got no extra attempt.",
            ("service", "reason"),
        )
        self.extra_wasted = self._counter(
            "extra_attempts_wasted_seconds",
            "Time of attempts that were cancelled for another one.",
            ("service",),
        )

    def _make_pool_metrics(self):
        """Make the metrics of stage pools and of shares of accounts."""
        self.stage_calls = self._counter(
            "stage_calls", "Calls of stage pools, by result.", ("service", "result")
        )
        self.stage_pieces = self._counter(
            "stage_pieces", "Pieces asked for in those calls.", ("service",)
        )
        self.stage_seconds = self._histogram(
            "stage_call_seconds", "Time of a call of a stage pool.", ("service",)
        )
        self.accounts_short = self._counter(
            "account_short_seconds",
            "Seconds for which work of accounts below half of their share waited.",
            ("service", "account"),
        )
        self.staged_answers = self._histogram(
            "staged_answer_seconds",
            "From the end of the stages to the first event.",
            ("service",),
        )

    def _make_target_metrics(self):
        """Make the metrics of members, checks, backoffs and limits."""
        self.suspected = self._counter(
            "members_suspected", "Times that another daemon did not answer."
        )
        self.target_checks = self._counter(
            "target_checks", "Looks at targets that broke work off.", ("verdict",)
        )
        self.suspect_trials = self._counter(
            "suspect_trials", "Trials of refused requests, as decided.", ("result",)
        )
        self.target_rests = self._counter(
            "target_rests", "Times that a target wanted no work for a while."
        )
        self.resumptions = self._counter(
            "stream_origins_found",
            "Streams that callers resume, by how their version is known.",
            ("evidence",),
        )
        self.resumptions_refused = self._counter(
            "resumptions_refused", "Streams that could not go on.", ("reason",)
        )
        self.requests_limited = self._counter(
            "requests_limited",
            "Requests that limits of targets affected.",
            ("outcome",),
        )
        self.permits = self._counter(
            "permits", "Permits that this gateway asked for, by result.", ("result",)
        )
        self.limited_targets = self._gauge(
            "limited_targets", "Targets that name a limit of requests per second."
        )
        self.permits_waiting = self._gauge(
            "permits_waiting", "Requests of all gateways that wait here for a permit."
        )
        self.engine_slowness = self._gauge(
            "engine_slowness",
            "Learned factor of the times of the slowest engines.",
            ("service", "target"),
        )
        self.engines_rated = self._gauge(
            "engines_rated", "Engines whose speed was seen of late.", ("service",)
        )

    def _make_state_metrics(self):
        """Make the gauges, which `update` sets."""
        self.suspended_parts = self._gauge(
            "parts_suspended", "Prompt parts refused, as they have crashed targets."
        )
        self.suspended = self._gauge(
            "requests_suspended", "Requests refused, as they have ended targets."
        )
        self.store_calls = self._gauge("store_calls", "Calls of the store so far.")
        self.store_bytes = self._gauge("store_read_bytes", "Bytes read from it so far.")
        self.connections = self._gauge(
            "target_connections_opened", "Connections opened to targets so far."
        )
        self.bytes_held = self._gauge(
            "response_bytes_held", "Bytes held of responses that are not complete."
        )
        self.ingress_bytes = self._gauge(
            "ingress_bytes_held", "Bytes held for callers, with their connections."
        )
        self.caller_connections = self._gauge(
            "caller_connections", "Open connections of callers and probes."
        )
        self.members = self._gauge("members", "Daemons known, this one included.")
        self.in_progress = self._gauge("answers_in_progress", "Requests in progress.")
        self.queued = self._gauge("stage_pieces_queued", "Pieces that wait for a call.")
        self.ready = self._gauge("gateway_ready", "1 while callers may be sent here.")
        self.version = self._gauge(
            "gateway_configuration_version", "Configuration version in force."
        )
        self.log_lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines left out so far."
        )

    def update(self, gateway, version, dropped):
        """Set all gauges to the current state of a gateway.

        Args:
            gateway (Gateway): The gateway.
            version (int): Version of its configuration; -1 without one.
            dropped (int): Log lines left out so far.
        """
        self.store_calls.set(gateway.store.calls)
        self.store_bytes.set(gateway.store.read_bytes)
        self.connections.set(gateway.connections.opened)
        self.bytes_held.set(gateway.connections.buffers.shared_bytes)
        self.ingress_bytes.set(gateway.ingress.budget.held_bytes)
        self.caller_connections.set(gateway.ingress.connections)
        self.members.set(gateway.roster.count)
        self.in_progress.set(gateway.callers.in_progress)
        requests, parts = gateway.crashes.count_quarantined()
        self.suspended.set(requests)
        self.suspended_parts.set(parts)
        self.queued.set(gateway.pools.queued_pieces)
        self.limited_targets.set(gateway.limits.limiter.limits.count)
        self.permits_waiting.set(gateway.limits.limiter.coordinator.waiting_count)
        self.ready.set(int(gateway.ready))
        self.version.set(version)
        self.log_lines_dropped.set(dropped)
        self._show_speeds(gateway.pools.describe_speeds())

    def _show_speeds(self, speeds):
        """Show the learned speeds (dict of str to list of EngineSpeed) of engines."""
        self.engine_slowness.clear()
        self.engines_rated.clear()
        for name, known in speeds.items():
            recent = list_slowest(known, len(known), SHOWN_AGE_S)
            if not recent:
                continue
            service = self.services.bound(name)
            self.engines_rated.labels(service).set(len(recent))
            for speed in recent[:SHOWN_ENGINES]:
                slowness = self.engine_slowness.labels(service, speed.target_id)
                slowness.set(speed.slowness)

    def record_answer(self, route, status, duration_s):
        """Count a response to a caller and its latency.

        Args:
            route (str): Name of the route.
            status (int): HTTP status.
            duration_s (float): Seconds since the request arrived.
        """
        route = self.routes.bound(route)
        self.answers.labels(route, str(status)).inc()
        self.latency.labels(route).observe(duration_s)

    def record_limited_caller(self, listener, reason):
        """Count a connection or request that a limit (str) of a listener ended."""
        self.limited_callers.labels(listener, reason).inc()

    def record_first_byte(self, route, duration_s):
        """Record the seconds from a request's arrival to the response head."""
        self.first_byte.labels(self.routes.bound(route)).observe(duration_s)

    def record_failed_attempt(self, service, kind):
        """Count a failed attempt at a service (str), by kind of failure (str)."""
        self.attempts_failed.labels(self.services.bound(service), kind).inc()

    def record_short_account(self, service, account, seconds):
        """Count seconds for which an account's work waited below half of its share.

        Args:
            service (str): Name of the pool's service.
            account (str): Name of the account.
            seconds (float): The time.
        """
        service = self.services.bound(service)
        account = self.accounts.bound(account)
        self.accounts_short.labels(service, account).inc(seconds)

    def record_staged_answer(self, service, duration_s):
        """Record the seconds from the end of a request's stages to its first event."""
        service = self.services.bound(service)
        self.staged_answers.labels(service).observe(duration_s)

    def record_stage_call(self, service, result, pieces, duration_s):
        """Count a call to a stage pool and its duration.

        Args:
            service (str): Name of the pool's service.
            result (str): "answered", "full" or "failed".
            pieces (int): Number of pieces in the call.
            duration_s (float): Seconds since the call was sent.
        """
        service = self.services.bound(service)
        self.stage_calls.labels(service, result).inc()
        self.stage_pieces.labels(service).inc(pieces)
        self.stage_seconds.labels(service).observe(duration_s)
