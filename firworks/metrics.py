"""Metrics of one daemon; docs/METRICS.md lists them.

Each daemon has its own collector registry, so that several daemons can run in one
process. The cardinality of labels is bounded: no metric is labelled by request or
target, and only the gateway's one of accounts short of their share by client account.
"""

from functools import singledispatch

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

from firworks.kernel.calls import CallCompleted, CallFailed, CancelCall, StartCall
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    LogReadFailed,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    RecordsAppended,
    RequestFinished,
    SendPeer,
    WriteLogEvent,
)

MAX_LABEL_VALUES = 64
OTHER = "other"

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2, 4, 8, 16, 60)


class LabelValues:
    """Bounds the cardinality of one label; names over the limit become ``OTHER``."""

    def __init__(self, limit=MAX_LABEL_VALUES):
        self._limit = limit
        self._seen = set()

    def bound(self, name):
        """Return `name`, or ``OTHER`` when it is empty or exceeds the limit."""
        if name in self._seen:
            return name
        if not name or len(self._seen) >= self._limit:
            return OTHER
        self._seen.add(name)
        return name


class MetricSet:
    """Base of a group of metrics with its own collector registry.

    Attributes:
        registry (CollectorRegistry): Collects the metrics for exposition.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)

    def _counter(self, name, text, labels=()):
        return Counter(f"firworks_{name}", text, labels, registry=self.registry)

    def _gauge(self, name, text, labels=()):
        return Gauge(f"firworks_{name}", text, labels, registry=self.registry)

    def _histogram(self, name, text, labels):
        return Histogram(
            f"firworks_{name}",
            text,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


class Metrics(MetricSet):
    """The metrics of one daemon.

    ``observe`` is called with each input event and each output action of the kernel;
    ``set_state`` sets the gauges of the daemon's state.

    Attributes:
        pipelines (LabelValues): Bounds the values of label ``pipeline``.
        stages (LabelValues): Bounds the values of label ``stage``.
        streams (LabelValues): Bounds the values of label ``stream``.
    """

    def __init__(self):
        super().__init__()
        self.pipelines = LabelValues()
        self.stages = LabelValues()
        self.streams = LabelValues()
        self._add_request_metrics()
        self._add_call_metrics()
        self._add_log_metrics()
        self._add_daemon_metrics()

    def _add_request_metrics(self):
        self.requests = self._counter(
            "requests", "Requests ended, by result code.", ("pipeline", "code")
        )
        self.met = self._counter(
            "requests_met", "Requests answered whole within deadline.", ("pipeline",)
        )
        self.latency = self._histogram(
            "request_latency_seconds", "From arrival to the end.", ("pipeline",)
        )
        self.first_token = self._histogram(
            "first_token_seconds", "From arrival to the first token.", ("pipeline",)
        )
        self.stage_seconds = self._counter(
            "stage_seconds", "Target time spent.", ("pipeline", "stage")
        )
        self.stage_cost = self._counter(
            "stage_cost", "Cost at the document's prices.", ("pipeline", "stage")
        )

        self.limited_callers = self._counter(
            "callers_limited",
            "Connections and requests that a limit on callers ended.",
            ("listener", "reason"),
        )

    def record_limited_caller(self, listener, reason):
        """Count a connection or request that a limit (str) of a listener ended."""
        self.limited_callers.labels(listener, reason).inc()

    def _add_call_metrics(self):
        self.calls = self._counter("calls", "Stage calls started.", ("kind",))
        self.calls_answered = self._counter("calls_answered", "Calls answered whole.")
        self.calls_failed = self._counter(
            "calls_failed", "Calls without a whole answer.", ("result",)
        )
        self.calls_cancelled = self._counter("calls_cancelled", "Calls cancelled.")

    def _add_log_metrics(self):
        self.appends = self._counter(
            "log_appends", "Appends sent to the log service.", ("stream",)
        )
        self.records = self._counter(
            "log_records", "Records sent to the log service.", ("stream",)
        )
        self.appended = self._counter(
            "log_appends_confirmed", "Appends confirmed.", ("stream",)
        )
        self.append_failures = self._counter(
            "log_appends_failed", "Appends without a confirmation.", ("stream",)
        )
        self.read_failures = self._counter(
            "log_reads_failed", "Reads without an answer.", ("stream",)
        )

    def _add_daemon_metrics(self):
        self.peer_sent = self._counter(
            "peer_messages_sent", "Messages sent to peers.", ("type",)
        )
        self.peer_received = self._counter(
            "peer_messages_received", "Messages received from peers.", ("type",)
        )
        self.peers = self._gauge("peers_connected", "Open connections to peers.")
        self.log_events = self._counter(
            "log_events", "Catalogued log events written.", ("event",)
        )
        self.ready = self._gauge("ready", "1 while the daemon is ready, else 0.")
        self.in_progress = self._gauge("requests_in_progress", "Requests in progress.")
        self.version = self._gauge(
            "configuration_version", "Configuration version in force."
        )

    def observe(self, item):
        """Update the metrics for an input event or output action of the kernel."""
        _observe(item, self)

    def set_state(self, ready, in_progress, version):
        """Set the gauges of the daemon's state.

        Args:
            ready (bool): Whether the daemon is ready.
            in_progress (int): Requests in progress.
            version (int): Configuration version in force; -1 for none.
        """
        self.ready.set(1 if ready else 0)
        self.in_progress.set(in_progress)
        self.version.set(version)


@singledispatch
def _observe(item, metrics):
    """Update the metrics for one event or action; most types have none."""


@_observe.register
def _(item: RequestFinished, metrics):
    pipeline = metrics.pipelines.bound(item.pipeline)
    metrics.requests.labels(pipeline, item.code.name).inc()
    metrics.latency.labels(pipeline).observe(item.latency_s)
    if item.met:
        metrics.met.labels(pipeline).inc()
    if item.first_token_s > 0:
        metrics.first_token.labels(pipeline).observe(item.first_token_s)
    for cost in item.costs:
        stage = metrics.stages.bound(cost.stage)
        metrics.stage_seconds.labels(pipeline, stage).inc(cost.seconds)
        metrics.stage_cost.labels(pipeline, stage).inc(cost.price)


@_observe.register
def _(item: StartCall, metrics):
    metrics.calls.labels(item.kind).inc()


@_observe.register
def _(item: CallCompleted, metrics):
    metrics.calls_answered.inc()


@_observe.register
def _(item: CallFailed, metrics):
    metrics.calls_failed.labels(item.result).inc()


@_observe.register
def _(item: CancelCall, metrics):
    metrics.calls_cancelled.inc()


@_observe.register
def _(item: AppendRecords, metrics):
    stream = metrics.streams.bound(item.stream)
    metrics.appends.labels(stream).inc()
    metrics.records.labels(stream).inc(len(item.records))


@_observe.register
def _(item: RecordsAppended, metrics):
    metrics.appended.labels(metrics.streams.bound(item.stream)).inc()


@_observe.register
def _(item: AppendFailed, metrics):
    metrics.append_failures.labels(metrics.streams.bound(item.stream)).inc()


@_observe.register
def _(item: LogReadFailed, metrics):
    metrics.read_failures.labels(metrics.streams.bound(item.stream)).inc()


@_observe.register
def _(item: SendPeer, metrics):
    metrics.peer_sent.labels(type(item.message).__name__).inc()


@_observe.register
def _(item: PeerReceived, metrics):
    metrics.peer_received.labels(type(item.message).__name__).inc()


@_observe.register
def _(item: PeerConnected, metrics):
    metrics.peers.inc()


@_observe.register
def _(item: PeerDisconnected, metrics):
    metrics.peers.dec()


@_observe.register
def _(item: WriteLogEvent, metrics):
    metrics.log_events.labels(item.event.name).inc()
