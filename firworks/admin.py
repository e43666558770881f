"""What the admin listener asks of its daemon."""

from firworks.kernel.messages import Struct

# Values of `resolution` in `AdminView.resolve_key`.
RESOLUTION_RAN = "ran"
RESOLUTION_NOT_RUN = "not-run"
RESOLUTIONS = (RESOLUTION_RAN, RESOLUTION_NOT_RUN)


class MemberStatus(Struct):
    """A peer as the daemon sees it: `name`, `status` and `connected` (bool)."""

    __slots__ = ("name", "status", "connected")


class DaemonStatus(Struct):
    """State of one daemon.

    Attributes:
        name (str): From settings.
        incarnation (str): Unique name of this run.
        environment (str): "trial" or "production".
        region (str): Region of its VM.
        failure_domain (str): Failure domain of its VM.
        ready (bool): Whether callers' requests are taken.
        draining (bool): Whether it has been told to stop.
        version (int): Configuration version in force; -1 for none.
        digest (str): Digest of the document in force.
        in_progress (int): Requests in progress.
        members (tuple of MemberStatus): Its peers.
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
    """What the ledger knows of a key.

    Attributes:
        state (str): A ``CLAIM_`` constant of the ledger, or "free".
        answer (str): The kept answer of work that ran, else "".
    """

    __slots__ = ("state", "answer")
    DEFAULTS = {"answer": ""}


class AdminView:
    """A daemon as its admin listener sees it; the daemon implements it.

    Attributes:
        burn (BurnRecorder): Its burn counts.
        metrics (Metrics): Its metrics.
    """

    def is_ready(self):
        """Return whether callers' requests are taken (bool)."""
        raise NotImplementedError

    def status(self):
        """Return the daemon's `DaemonStatus`."""
        raise NotImplementedError

    async def look_up_key(self, key):
        """Return the `KeyStatus` of a `WorkKey`.

        Raises:
            FirworksError: When the ledger cannot tell.
        """
        raise NotImplementedError

    async def resolve_key(self, key, resolution, answer):
        """Settle a key whose outcome is unknown, on an operator's word.

        Args:
            key (WorkKey): The key.
            resolution (str): One of ``RESOLUTIONS``.
            answer (str): JSON text that later resends get; with ``RESOLUTION_RAN``.

        Returns:
            KeyStatus: Afterwards.

        Raises:
            FirworksError: When the key is not in the unknown state, or the log does
                not confirm.
        """
        raise NotImplementedError

    def start_drain(self):
        """Begin a graceful shutdown; returns at once."""
        raise NotImplementedError
