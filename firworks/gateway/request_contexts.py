"""State of one request across its attempts."""

from firworks.kernel.forwarding.features import list_shared_parts, make_fingerprint
from firworks.kernel.forwarding.outcomes import Progress
from firworks.kernel.pools.part_groups import group_parts


class RequestContext:
    """State of a request in progress.

    Attributes:
        http (BaseRequest): The HTTP request of the caller.
        admitted (Admitted): The admitted request with its route.
        service (str): Service that it is forwarded to.
        body (bytes or None): Request body; None when the caller sent none.
        progress (Progress): Outcome of the attempts so far.
        excluded (set of tuple): Incarnations of targets already tried.
        stages (StageRun or None): The run of its stages; None before it begins.
        inputs (tuple of str): Handles of the stage results.
        restarted (bool): Its stages were run again after results were lost.
        last_event_id (str or None): Last event delivered, to resume a stream.
        response (StreamResponse or None): Set before its head is sent to the caller.
        trial (bool): It is quarantined and has a trial on one target.
        fingerprint (bytes): Hash of path, client account and body.
        parts (tuple of bytes): Fingerprints of the parts of its prompt that other
            requests may share.
        placed_parts (tuple of (str, int)): Id and tokens of the parts of its prompt by
            which it is placed on an engine; long prompts have groups of them.
        part_trial (tuple of bytes): Those that it has a trial for on one target.
        target_id (str): Last target that it was sent to; empty before.
        incarnation (tuple or None): Its incarnation; None before.
        software (str): Software version of that target; empty if unknown.
        stream_version (str or None): Software version at which its stream began, and
            at which alone it goes on; None before its first event.
        stages_s (float or None): Duration of its stages in seconds.
        staged_s (float or None): When its stages were done, in monotonic seconds; None
            before, and once its first event has been received.
        first_s (float or None): Seconds from arrival to the response head.
    """

    __slots__ = (
        "http",
        "admitted",
        "service",
        "body",
        "progress",
        "excluded",
        "stages",
        "inputs",
        "restarted",
        "last_event_id",
        "response",
        "trial",
        "fingerprint",
        "parts",
        "placed_parts",
        "part_trial",
        "target_id",
        "incarnation",
        "software",
        "stream_version",
        "stages_s",
        "staged_s",
        "first_s",
    )

    def __init__(self, http, admitted, service, body):
        self.http = http
        self.admitted = admitted
        self.service = service
        self.body = body
        route = admitted.route
        self.progress = Progress(
            route.repeatable,
            route.max_attempts,
            route.streaming and route.resumable,
        )
        self.excluded = set()
        self.stages = None
        self.inputs = ()
        self.restarted = False
        self.last_event_id = admitted.request.last_event_id
        self.response = None
        self.trial = False
        self.target_id = ""
        self.incarnation = None
        self.software = ""
        self.stream_version = None
        self.stages_s = None
        self.staged_s = None
        self.first_s = None
        account = self.account_name
        path = admitted.request.target_path
        self.fingerprint = make_fingerprint(path, account, body)
        prompt = admitted.request.prompt
        self.parts = list_shared_parts(prompt)
        self.placed_parts = () if prompt is None else group_parts(prompt.parts)
        self.part_trial = ()

    @property
    def account_name(self):
        """Name of the client account (str), or None."""
        account = self.admitted.account
        return None if account is None else account.name

    @property
    def request_id(self):
        """Request id given by the caller (str)."""
        return self.admitted.request.request_id

    @property
    def may_have_run(self):
        """Whether a target may have started it or its stages, or has responded."""
        staged = self.stages is not None or self.stages_s is not None
        return self.progress.may_have_run or staged or self.response is not None

    @property
    def features(self):
        """Fingerprints (tuple of bytes) of what may make it crash targets."""
        return (self.fingerprint, *self.parts)

    def set_target(self, target):
        """Set the target (Target) that it was last sent to, or that answers it."""
        self.target_id, self.incarnation = target.target_id, target.incarnation
        self.software = target.version

    def list_part_ids(self):
        """Return the ids (list of str) of the parts of its prompt, in order."""
        prompt = self.admitted.request.prompt
        return [] if prompt is None else [part_id for part_id, _ in prompt.parts]

    def remaining_s(self, now):
        """Return the seconds left until its deadline."""
        return self.admitted.deadline_s - now
