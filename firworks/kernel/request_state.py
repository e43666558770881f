"""State of requests in progress and of their calls."""

from firworks.kernel.streams import TokenStream


class Call:
    """One attempt at one stage.

    Attributes:
        call_id (int): Unique within the daemon.
        identity (CallIdentity): Sent to the target.
        echo (str): Text form of the identity, which the target echoes.
        request (Request): The request that the call belongs to.
        target (str): The target it was placed on, or "" while it waits.
        started_s (float): Kernel time of placement.
        first_token_s (float): Kernel time of the first token; 0 without one.
        failure (CallFailed): How it failed, or None.
        tokens (int): Tokens received by this attempt.
    """

    __slots__ = (
        "call_id",
        "identity",
        "echo",
        "request",
        "target",
        "started_s",
        "first_token_s",
        "failure",
        "tokens",
    )

    def __init__(self, call_id, identity, request):
        self.call_id = call_id
        self.identity = identity
        self.echo = identity.encode()
        self.request = request
        self.target = ""
        self.started_s = 0.0
        self.first_token_s = 0.0
        self.failure = None
        self.tokens = 0


class Request:
    """A request in progress.

    Attributes:
        request_id (str): Globally unique, never reused.
        account (Account): Its client account.
        pipeline (Pipeline): As configured in `document`.
        document (Document): Configuration that the request started with.
        version (int): Version of that configuration.
        body (object): The caller's JSON value.
        fingerprint (bytes): Hash of pipeline and body.
        arrived_s (float): Kernel time of arrival.
        deadline_s (float): Kernel time of the deadline.
        claim_id (str): Its ledger claim, or "".
        claimed (bool): The ledger granted the claim.
        resent (bool): An earlier send of the same idempotency key may have run.
        alone (bool): Suspected of crashing targets.
        deferral_id (str): The deferred request that this request executes, or "".
        stage_index (int): The stage in progress.
        previous (object): Output of the previous stage, a JSON value.
        stream (TokenStream): Tokens of the stage in progress.
        calls (dict of int to Call): Calls of the stage in progress, by call_id.
        attempts (int): Attempts of the stage in progress.
        failed_targets (list of str): Targets that failed the stage in progress.
        resumed_targets (list of str): Targets at which a broken stream of the stage
            in progress was resumed.
        possibly_started (set of int): Calls of all stages that a target may have
            started.
        dispatched (set of int): The non-repeatable calls among them.
        code (Code): Code of the final response, or None before it.
        caller (bool): The caller is still connected.
        first_token_s (float): Kernel time of the first token sent; 0 without one.
        costs (list of StageCost): Costs of calls that have ended.
    """

    __slots__ = (
        "request_id",
        "account",
        "pipeline",
        "document",
        "version",
        "body",
        "fingerprint",
        "arrived_s",
        "deadline_s",
        "claim_id",
        "claimed",
        "resent",
        "alone",
        "deferral_id",
        "stage_index",
        "previous",
        "stream",
        "calls",
        "attempts",
        "failed_targets",
        "resumed_targets",
        "possibly_started",
        "dispatched",
        "code",
        "caller",
        "first_token_s",
        "costs",
    )

    def __init__(self, request_id, account, pipeline, body, fingerprint):
        self.request_id = request_id
        self.account = account
        self.pipeline = pipeline
        self.document = None
        self.version = 0
        self.body = body
        self.fingerprint = fingerprint
        self.arrived_s = 0.0
        self.deadline_s = 0.0
        self.claim_id = ""
        self.claimed = False
        self.resent = False
        self.alone = False
        self.deferral_id = ""
        self.previous = None
        self.possibly_started = set()
        self.dispatched = set()
        self.code = None
        self.caller = True
        self.first_token_s = 0.0
        self.costs = []
        self.start_stage(0, None)

    @property
    def claim_pending(self):
        """Whether the ledger has not yet decided on the request's claim."""
        return bool(self.claim_id) and not self.claimed

    @property
    def may_have_started(self):
        """Whether work of this send, or of an earlier one of its key, may have started.

        A granted claim rules out earlier sends.
        """
        return bool(self.possibly_started) or (self.resent and not self.claimed)

    @property
    def stage(self):
        """The stage in progress."""
        return self.pipeline.stages[self.stage_index]

    @property
    def pool(self):
        """The pool of the stage in progress."""
        return self.document.pools[self.stage.pool]

    @property
    def is_last_stage(self):
        """Whether the stage in progress is the last."""
        return self.stage_index == len(self.pipeline.stages) - 1

    @property
    def streams_to_caller(self):
        """Whether tokens of the stage in progress are streamed to the caller."""
        return self.is_last_stage and self.pool.kind == "engine"

    def start_stage(self, index, previous):
        """Start a stage with the output of the previous one."""
        self.stage_index = index
        self.previous = previous
        self.stream = TokenStream()
        self.calls = {}
        self.attempts = 0
        self.failed_targets = []
        self.resumed_targets = []

    def make_stage_body(self):
        """Return the JSON value that is sent to the target of the stage."""
        return {"request": self.body, "previous": self.previous}
