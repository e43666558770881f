"""State of the requests in progress and of their calls."""

from firworks.kernel.streams import TokenStream


class Call:
    """One attempt at one stage.

    Attributes:
        call_id (int): Unique within the daemon.
        identity (CallIdentity): Sent to the target.
        echo (str): Its text form, which the target echoes.
        request (Request): The request it belongs to.
        target (str): Where it was placed, or "" while it waits.
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
        request_id (str): Unique for ever.
        account (Account): Its client account.
        pipeline (Pipeline): As in the version that the request started with.
        document (Document): That version's document.
        version (int): That version.
        body (object): The caller's JSON value.
        fingerprint (bytes): Hash of pipeline and body.
        arrived_s (float): Kernel time of arrival.
        deadline_s (float): Kernel time at which the answer is due.
        claim_id (str): Its ledger claim, or "".
        claimed (bool): The claim was won.
        resent (bool): An earlier send of the same key may have run.
        alone (bool): Suspected of crashing targets.
        deferral_id (str): The deferred request that this is a run of, or "".
        stage_index (int): The stage in progress.
        previous (object): Output of the stage before, a JSON value.
        stream (TokenStream): Tokens of the stage in progress.
        calls (dict of int to Call): Calls of the stage in progress, by call_id.
        attempts (int): Attempts of the stage in progress.
        failed_targets (list of str): Targets that failed the stage in progress.
        resumed_targets (list of str): Targets at which a broken stream of the stage
            in progress was resumed.
        begun (set of int): Calls, of any stage, that a target can have begun.
        dispatched (set of int): Those of them that may not be repeated.
        code (Code): The final answer's code, or None before it.
        caller (bool): A caller waits.
        first_token_s (float): Kernel time of the first token sent; 0 without one.
        costs (list of StageCost): Of ended calls.
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
        "begun",
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
        self.begun = set()
        self.dispatched = set()
        self.code = None
        self.caller = True
        self.first_token_s = 0.0
        self.costs = []
        self.start_stage(0, None)

    @property
    def claim_pending(self):
        """Whether the ledger has yet to decide on the request's claim."""
        return bool(self.claim_id) and not self.claimed

    @property
    def may_have_begun(self):
        """Whether this send, or an earlier one of its key, may have begun.

        A claim that was won rules out earlier sends.
        """
        return bool(self.begun) or (self.resent and not self.claimed)

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
        """Whether tokens of the stage in progress belong to the answer."""
        return self.is_last_stage and self.pool.kind == "engine"

    def start_stage(self, index, previous):
        """Begin a stage with the output of the one before."""
        self.stage_index = index
        self.previous = previous
        self.stream = TokenStream()
        self.calls = {}
        self.attempts = 0
        self.failed_targets = []
        self.resumed_targets = []

    def make_stage_body(self):
        """Return the JSON value that the stage's target gets."""
        return {"request": self.body, "previous": self.previous}
