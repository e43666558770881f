"""What one request carries through its attempts."""

from hashlib import blake2b

from firworks.kernel.forwarding.outcomes import Progress

FINGERPRINT_BYTES = 16


class RequestContext:
    """A request in progress.

    Attributes:
        http (BaseRequest): The caller's request.
        admitted (Admitted): The request with its route.
        service (str): Where it is forwarded.
        body (bytes or None): None when the caller sent none.
        progress (Progress): What has happened so far.
        excluded (set of tuple): Runs of targets that have had it.
        stages (StageRun or None): Its stages.
        inputs (tuple of str): Results of its stages.
        restarted (bool): Its stages have been run anew.
        last_event_id (str or None): Event after which a stream goes on.
        response (StreamResponse or None): Once its head has gone to the caller.
        trial (bool): It is refused and may be sent to one target all the same.
        fingerprint (bytes): Hash of path, caller and body, the same for each try.
        target_id (str): The last target that it was sent to.
        stages_s (float or None): Time that its stages took.
        first_s (float or None): Time until the head of its answer.
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
        "target_id",
        "stages_s",
        "first_s",
    )

    def __init__(self, http, admitted, service, body):
        self.http = http
        self.admitted = admitted
        self.service = service
        self.body = body
        route = admitted.route
        self.progress = Progress(route.repeatable, route.max_attempts)
        self.excluded = set()
        self.stages = None
        self.inputs = ()
        self.restarted = False
        self.last_event_id = admitted.request.last_event_id
        self.response = None
        self.trial = False
        self.target_id = ""
        self.stages_s = None
        self.first_s = None
        account = None if admitted.account is None else admitted.account.name
        path = admitted.request.target_path
        self.fingerprint = make_fingerprint(path, account, body)

    @property
    def request_id(self):
        """The caller's id of the request."""
        return self.admitted.request.request_id

    @property
    def may_have_run(self):
        """Whether a target may have begun it, or pieces of it, or has answered it."""
        staged = self.stages is not None or self.stages_s is not None
        return self.progress.may_have_run or staged or self.response is not None

    def left_s(self, now):
        """Return the seconds until its deadline."""
        return self.admitted.deadline_s - now


def make_fingerprint(target_path, account, body):
    """Return a hash of what a caller's tries of one request have in common.

    A client account may have several keys, and a service several hosts.

    Args:
        target_path (str): Path and query.
        account (str or None): Name of the client account.
        body (bytes or None): The body.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (target_path, account or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body or b"")
    return digest.digest()
