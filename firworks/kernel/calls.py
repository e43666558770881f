"""Signals and events of a stage call, from its request to its end.

The request part asks for a call, the scheduling part places it on a target, and
the daemon's target adapters carry it out and report back.
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
        attempt (int): Counts from 1; hedges count as attempts.
    """

    __slots__ = ("incarnation", "request_id", "stage", "attempt")

    def encode(self):
        """Return the text form that a target echoes."""
        return f"{self.incarnation}/{self.request_id}/{self.stage}/{self.attempt}"


class CallRequested(Signal):
    """A stage call is to be placed on a target.

    Attributes:
        call_id (int): Unique within the daemon.
        identity (CallIdentity): Sent to the target and echoed by it.
        account (str): The client account.
        pipeline (str): The pipeline's name.
        stage (str): The stage's name.
        pool (str): The pool that the call may go to.
        deadline_s (float): Kernel time at which the request's answer is due.
        budget_s (float): Time that this stage may use, from now on.
        repeatable (bool): The work may run more than once.
        deferred (bool): The work may wait for spare capacity.
        model (str): The model an engine must serve; empty for services.
        prefix (tuple of bytes): Hashes of the prompt's blocks, longest chain first
            block first.
        expected_tokens (int): Tokens that the answer may hold; 0 for services.
        avoid (tuple of str): Targets not to choose.
        hedge_of (int): The call that this one hedges, or 0.
        alone (bool): Suspected of crashing targets; place it where nothing else
            runs.
        fingerprint (bytes): Hash of the request's content.
        prefer (str): A target that already holds this request's state, or "".
        version (int): Configuration version that the request started with.
        weight (float): The pipeline's attainment weight; 0 weighs only cost.
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
    """The scheduling part chose a target for a call.

    Attributes:
        call_id (int): The call.
        target (str): Name of the target.
        timeout_s (float): How long the target may take to answer whole.
        priority (int): Handed to engines; 0 is the most urgent.
    """

    __slots__ = ("call_id", "target", "timeout_s", "priority")
    DEFAULTS = {"priority": 0}


class CallRejected(Signal):
    """No target will be asked for this call.

    Attributes:
        call_id (int): The call.
        code (Code): Why.
        retry_after_s (float): When the caller may come back; 0 when unknown.
    """

    __slots__ = ("call_id", "code", "retry_after_s")
    DEFAULTS = {"retry_after_s": 0.0}


class CallWithdrawn(Signal):
    """The call is no longer wanted; it is still queued or was never placed."""

    __slots__ = ("call_id",)


class HedgeAdvised(Signal):
    """The scheduling part advises a second attempt beside a slow call."""

    __slots__ = ("call_id",)


class CallEnded(Signal):
    """A placed call is over.

    Attributes:
        call_id (int): The call.
        target (str): The target it was placed on.
        pool (str): The target's pool.
        result (str): One of the ``RESULT_`` constants.
        latency_s (float): From start to end.
        first_token_s (float): From start to first token; 0 when there was none.
        tokens (int): Tokens received.
        account (str): The client account.
        fingerprint (bytes): Hash of the request's content.
        neighbours (tuple of bytes): Fingerprints of this daemon's other calls that
            were running at the target when it crashed.
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
        "neighbours",
    )
    DEFAULTS = {
        "first_token_s": 0.0,
        "tokens": 0,
        "account": "",
        "fingerprint": b"",
        "neighbours": (),
    }


class TargetReported(Event):
    """A target reported its load.

    Attributes:
        target (str): The target.
        measured_s (float): Kernel time at which the target measured it, as near as
            the adapter can tell.
        running (int): Requests in progress there, from all daemons.
        queued (int): Requests waiting there.
        capacity (int): Requests that it can run at once; 0 when unknown.
        cached (tuple of bytes): Prefix block hashes that it newly caches.
        evicted (tuple of bytes): Prefix block hashes that it no longer caches.
        sequence (int): Number of its cache event batch; a gap means lost events.
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
    """The target gets no new work; what runs there finishes."""

    __slots__ = ("target",)


class TargetDown(Signal):
    """The target is gone; calls in progress there have failed."""

    __slots__ = ("target",)


class StartCall(Action):
    """Ask the target adapter to carry out a call.

    Attributes:
        call_id (int): Echoed by every event about the call.
        identity (CallIdentity): Sent along.
        target (str): Name of the target.
        kind (str): "engine" or "service", the pool's kind.
        operation (str): The operation at the target, from the document.
        model (str): For engines.
        body (object): JSON value.
        resume (tuple of str): Tokens already received, for engines.
        timeout_s (float): Bound on the whole call.
        priority (int): For engines.
        repeatable (bool): False sends it over a new connection, once.
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
    """Cancel a call at its target; no event about it is awaited any more."""

    __slots__ = ("call_id",)


class CallChunk(Event):
    """A part of a streamed answer.

    Attributes:
        call_id (int): The call.
        identity (str): Identity as echoed by the target.
        offset (int): Position of the first token in the whole answer.
        tokens (tuple of str): The tokens.
    """

    __slots__ = ("call_id", "identity", "offset", "tokens")


class CallCompleted(Event):
    """The target answered whole.

    Attributes:
        call_id (int): The call.
        identity (str): Identity as echoed by the target.
        body (object): JSON value; for streams None.
        count (int): Tokens in the whole streamed answer; -1 for plain answers.
    """

    __slots__ = ("call_id", "identity", "body", "count")
    DEFAULTS = {"count": -1}


class CallFailed(Event):
    """The call ended without a whole answer.

    Attributes:
        call_id (int): The call.
        result (str): One of the ``RESULT_`` constants.
        began (bool): The target can have begun the work.
        detail (str): For logs.
    """

    __slots__ = ("call_id", "result", "began", "detail")
    DEFAULTS = {"detail": ""}
