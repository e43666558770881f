"""The parts of a caller's request that forwarding decisions depend on."""

from firworks.kernel.messages import Struct


class Prompt(Struct):
    """Size and identity of the prompt of a request to an engine.

    Attributes:
        model (str): Name of the model.
        tokens_in (int): Length of the prompt in tokens.
        tokens_out (int): Maximum number of tokens to generate.
        parts (tuple of (str, int)): Hash and token count of each part, in order.
    """

    __slots__ = ("model", "tokens_in", "tokens_out", "parts")


class CallerRequest(Struct):
    """One attempt of a caller to send a request.

    Attributes:
        request_id (str): Unique to the attempt.
        method (str): HTTP method.
        host (str): Value of the Host header.
        target_path (str): Path and query as the caller sent them.
        key (str or None): The caller's API key.
        caller_timeout_s (float or None): Time that the caller will wait.
        last_event_id (str or None): Event after which a stream is to be resumed.
        prompt (Prompt or None): For requests to engines.
        piece_counts (tuple of int): Number of pieces of each stage; empty without
            stages.
        piece_key (str): Input of the stages that depend on no others.
        begun_as (str or None): Id of the attempt that received the first event of the
            stream to be resumed.
    """

    __slots__ = (
        "request_id",
        "method",
        "host",
        "target_path",
        "key",
        "caller_timeout_s",
        "last_event_id",
        "prompt",
        "piece_counts",
        "piece_key",
        "begun_as",
    )

    DEFAULTS = {"begun_as": None}

    @property
    def resumed_id(self):
        """Id of the attempt whose stream is resumed (str); None for a new request."""
        return self.begun_as if self.last_event_id is not None else None

    @property
    def path(self):
        """The path without its query string."""
        return self.target_path.partition("?")[0]
