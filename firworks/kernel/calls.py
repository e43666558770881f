"""Signals, events and actions of a stage call, from its request to its end.

`Requests` requests a call, `Scheduler` places it on a target, and the daemon's
target adapters execute it and report the result.
"""

from firworks.kernel.messages import Action, Event, Signal, Struct

# Values of `CallEnded.result`.
RESULT_OK = "ok"
RESULT_FAILED = "failed"
RESULT_CRASHED = "crashed"
RESULT_REFUSED = "refused"
RESULT_TIMEOUT = "timeout"
RESULT_CANCELLED = "cancelled"


class CallIdentity(Struct):
    """The identity of one attempt at one stage of one request.

    Attributes:
        incarnation (str): The daemon incarnation that issued the call.
        request_id (str): The request.
        stage (int): Index of the stage in its pipeline.
        attempt (int): Number of the attempt, from 1; hedges count as attempts.
    """

    __slots__ = ("incarnation", "request_id", "stage", "attempt")

    def encode(self):
        """Return the text form, which the target echoes."""
        return f"{self.incarnation}/{self.request_id}/{self.stage}/{self.attempt}"


class CallRequested(Signal):
    """A stage call must be placed on a target.

    Attributes:
        call_id (int): Unique within the daemon.
        identity (CallIdentity): Sent to the target and echoed by it.
        account (str): The client account.
        pipeline (str): The pipeline's name.
        stage (str): The stage's name.
        pool (str): The pool that may serve the call.
        deadline_s (float): Kernel time of the request's deadline.
        budget_s (float): Time that this stage may use, starting now.
        repeatable (bool): The work may run more than once.
        deferred (bool): The work may wait for spare capacity.
        model (str): The model an engine must serve; empty for services.
        prefix (tuple of bytes): Chained hashes of the prompt's blocks, first block
            first.
        expected_tokens (int): Expected tokens of the response; 0 for services.
        avoid (tuple of str): Targets that must not be chosen.
        hedge_of (int): The call that this one hedges, or 0.
        alone (bool): Suspected of crashing targets; place it on an idle target that
            gets no other call meanwhile.
        fingerprint (bytes): Hash of the request's content.
        prefer (str): A target that already holds this request's state, or "".
        version (int): Configuration version that the request started with.
        weight (float): The pipeline's attainment weight; with 0 only cost counts.
    """

    __slots__ = (
        "call_id",
        "identity",
        "account",
        "pipeline",
        "stage",
        "pool",
        "deadline_s",
        "budget_s",
        "repeatable",
        "deferred",
        "model",
        "prefix",
        "expected_tokens",
        "avoid",
        "hedge_of",
        "alone",
        "fingerprint",
        "prefer",
        "version",
        "weight",
    )
    DEFAULTS = {
        "prefer": "",
        "version": 0,
        "weight": 0.5,
        "deferred": False,
        "model": "",
        "prefix": (),
        "expected_tokens": 0,
        "avoid": (),
        "hedge_of": 0,
        "alone": False,
        "fingerprint": b"",
    }


class CallPlaced(Signal):
    """The scheduler chose a target for a call.

    Attributes:
        call_id (int): The call.
        target (str): Name of the target.
        timeout_s (float): Time that the target has for its complete response.
        priority (int): Passed to engines; 0 is the most urgent.
    """

    __slots__ = ("call_id", "target", "timeout_s", "priority")
    DEFAULTS = {"priority": 0}


class CallRejected(Signal):
    """The scheduler rejects a call; it goes to no target.

    Attributes:
        call_id (int): The call.
        code (Code): The reason.
        retry_after_s (float): When the caller should retry; 0 when unknown.
    """

    __slots__ = ("call_id", "code", "retry_after_s")
    DEFAULTS = {"retry_after_s": 0.0}


class CallWithdrawn(Signal):
    """A call that is still queued, or was never placed, is cancelled."""

    __slots__ = ("call_id",)


class HedgeAdvised(Signal):
    """The scheduler advises a second attempt in parallel to a slow call."""

    __slots__ = ("call_id",)


class CallEnded(Signal):
    """A placed call ended.

    Attributes:
        call_id (int): The call.
        target (str): The target it was placed on.
        pool (str): The target's pool.
        result (str): One of the ``RESULT_`` constants.
        latency_s (float): Time from start to end.
        first_token_s (float): Time from start to first token; 0 without a token.
        tokens (int): Tokens received.
        account (str): The client account.
        fingerprint (bytes): Hash of the request's content.
        concurrent (tuple of bytes): Fingerprints of this daemon's other requests
            with a call at the target when it crashed.
    """

    __slots__ = (
        "call_id",
        "target",
        "pool",
        "result",
        "latency_s",
        "first_token_s",
        "tokens",
        "account",
        "fingerprint",
        "concurrent",
    )
    DEFAULTS = {
        "first_token_s": 0.0,
        "tokens": 0,
        "account": "",
        "fingerprint": b"",
        "concurrent": (),
    }


class TargetReported(Event):
    """A target reported its load.

    Attributes:
        target (str): The target.
        measured_s (float): Kernel time at which the target measured its load, as
            estimated by the adapter.
        running (int): Requests in progress there, from all daemons.
        queued (int): Requests queued there.
        capacity (int): Requests that it can run concurrently; 0 when unknown.
        cached (tuple of bytes): Hashes of prefix blocks added to its cache.
        evicted (tuple of bytes): Hashes of prefix blocks evicted from its cache.
        sequence (int): Number of the batch of cache events; a gap means lost events.
    """

    __slots__ = (
        "target",
        "measured_s",
        "running",
        "queued",
        "capacity",
        "cached",
        "evicted",
        "sequence",
    )
    DEFAULTS = {"capacity": 0, "cached": (), "evicted": (), "sequence": 0}


class TargetLeaving(Signal):
    """The target gets no new calls; those in progress there run to completion."""

    __slots__ = ("target",)


class TargetDown(Signal):
    """The target is down; calls in progress there have failed."""

    __slots__ = ("target",)


class StartCall(Action):
    """Start a call through the target adapter.

    Attributes:
        call_id (int): Echoed by every event about the call.
        identity (CallIdentity): Sent to the target and echoed by it.
        target (str): Name of the target.
        kind (str): "engine" or "service", the pool's kind.
        operation (str): Operation at the target, from the configuration document.
        model (str): The model; engines only.
        body (object): JSON value; for engines the prompt.
        resume (tuple of str): Tokens already received; engines only.
        timeout_s (float): Timeout of the entire call.
        priority (int): Priority; engines only.
        repeatable (bool): If False, the call is sent once, over a new connection.
    """

    __slots__ = (
        "call_id",
        "identity",
        "target",
        "kind",
        "operation",
        "model",
        "body",
        "resume",
        "timeout_s",
        "priority",
        "repeatable",
    )
    DEFAULTS = {"model": "", "resume": (), "priority": 0, "repeatable": True}


class CancelCall(Action):
    """Cancel a call at its target; no further event about it is expected."""

    __slots__ = ("call_id",)


class CallChunk(Event):
    """A chunk of a streamed response arrived.

    Attributes:
        call_id (int): The call.
        identity (str): Identity as echoed by the target.
        offset (int): Position of the first token in the complete response.
        tokens (tuple of str): The tokens.
    """

    __slots__ = ("call_id", "identity", "offset", "tokens")


class CallCompleted(Event):
    """The target's response is complete.

    Attributes:
        call_id (int): The call.
        identity (str): Identity as echoed by the target.
        body (object): JSON value; None for streams.
        count (int): Tokens in the complete stream; -1 for other responses.
    """

    __slots__ = ("call_id", "identity", "body", "count")
    DEFAULTS = {"count": -1}


class CallFailed(Event):
    """The call ended without a complete response.

    Attributes:
        call_id (int): The call.
        result (str): One of the ``RESULT_`` constants.
        began (bool): The target may have started the work.
        detail (str): Explanation for logs.
    """

    __slots__ = ("call_id", "result", "began", "detail")
    DEFAULTS = {"detail": ""}
