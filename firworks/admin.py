"""Interface between the admin listener and its daemon."""

from firworks.kernel.messages import Struct

# Values of `resolution` in `AdminView.resolve_key`.
RESOLUTION_RAN = "ran"
RESOLUTION_NOT_RUN = "not-run"
RESOLUTIONS = (RESOLUTION_RAN, RESOLUTION_NOT_RUN)


class MemberStatus(Struct):
    """The daemon's view of a peer: `name`, `status` and `connected` (bool)."""

    __slots__ = ("name", "status", "connected")


class DaemonStatus(Struct):
    """State of one daemon.

    Attributes:
        name (str): From settings.
        incarnation (str): Unique identifier of this start of the daemon.
        environment (str): "trial" or "production".
        region (str): Region of its VM.
        failure_domain (str): Failure domain of its VM.
        ready (bool): Whether callers' requests are accepted.
        draining (bool): Whether a graceful shutdown has begun.
        version (int): Configuration version in force; -1 for none.
        digest (str): Digest of the document in force.
        in_progress (int): Requests in progress.
        members (tuple of MemberStatus): Peers that aren't considered dead.
    """

    __slots__ = (
        "name",
        "incarnation",
        "environment",
        "region",
        "failure_domain",
        "ready",
        "draining",
        "version",
        "digest",
        "in_progress",
        "members",
    )
    DEFAULTS = {"members": ()}


class KeyStatus(Struct):
    """State of an idempotency key in the ledger.

    Attributes:
        state (str): A ``CLAIM_`` constant of the ledger, or "free".
        answer (str): The stored response of work that ran, else "".
    """

    __slots__ = ("state", "answer")
    DEFAULTS = {"answer": ""}


class AdminView:
    """Operations that a daemon offers to its admin listener.

    Attributes:
        burn (BurnRecorder): Error-budget counts of the daemon.
        metrics (Metrics): Metrics of the daemon.
    """

    def is_ready(self):
        """Return whether callers' requests are accepted (bool)."""
        raise NotImplementedError

    def status(self):
        """Return the daemon's `DaemonStatus`."""
        raise NotImplementedError

    async def look_up_key(self, key):
        """Return the `KeyStatus` of a `WorkKey`.

        Raises:
            FirworksError: When the ledger is unavailable.
        """
        raise NotImplementedError

    async def resolve_key(self, key, resolution, answer):
        """Record an operator's decision on a key whose outcome is unknown.

        Args:
            key (WorkKey): The key.
            resolution (str): One of ``RESOLUTIONS``.
            answer (str): JSON text returned to later retries; only used with
                ``RESOLUTION_RAN``.

        Returns:
            KeyStatus: The state after the change.

        Raises:
            FirworksError: When the key is not in the unknown state, or the log service
                does not confirm the write.
        """
        raise NotImplementedError

    def start_drain(self):
        """Begin a graceful shutdown; returns at once."""
        raise NotImplementedError
