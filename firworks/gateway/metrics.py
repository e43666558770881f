"""Metrics of a gateway process; docs/METRICS.md lists them."""

from firworks.metrics import LabelValues, MetricSet


class GatewayMetrics(MetricSet):
    """The metrics of a gateway process.

    Attributes:
        routes (LabelValues): Limits the number of values of the label ``route``.
        services (LabelValues): Limits the number of values of the label ``service``.
    """

    def __init__(self):
        super().__init__()
        self.routes = LabelValues()
        self.services = LabelValues()
        self.answers = self._counter(
            "answers", "Answers to callers, by status.", ("route", "status")
        )
        self.latency = self._histogram(
            "answer_latency_seconds", "From arrival to the end.", ("route",)
        )
        self.first_byte = self._histogram(
            "answer_first_byte_seconds", "From arrival to the head.", ("route",)
        )
        self.attempts_failed = self._counter(
            "attempts_failed", "Attempts without a usable answer.", ("service", "kind")
        )
        self.drain_requests = self._counter(
            "drain_requests",
            "Requests that would outlast a drain, by what was done.",
            ("outcome",),
        )
        self.stage_calls = self._counter(
            "stage_calls", "Calls of stage pools, by result.", ("service", "result")
        )
        self.stage_pieces = self._counter(
            "stage_pieces", "Pieces asked for in those calls.", ("service",)
        )
        self.stage_seconds = self._histogram(
            "stage_call_seconds", "Time of a call of a stage pool.", ("service",)
        )
        self.staged_answers = self._histogram(
            "staged_answer_seconds",
            "From the end of the stages to the first event.",
            ("service",),
        )
        self._make_target_metrics()
        self._make_state_metrics()

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

    def record_first_byte(self, route, duration_s):
        """Record the seconds from a request's arrival to the response head."""
        self.first_byte.labels(self.routes.bound(route)).observe(duration_s)

    def record_failed_attempt(self, service, kind):
        """Count a failed attempt at a service (str), by kind of failure (str)."""
        self.attempts_failed.labels(self.services.bound(service), kind).inc()

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
