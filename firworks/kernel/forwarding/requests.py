"""A caller's request as the decisions see it."""

from firworks.kernel.messages import Struct


class Prompt(Struct):
    """What a request tells of its prompt.

    Attributes:
        model (str): Name of the model.
        tokens_in (int): Length of the prompt.
        tokens_out (int): Most tokens to generate.
        parts (tuple of (str, int)): Hash and tokens of each part, in order.
    """

    __slots__ = ("model", "tokens_in", "tokens_out", "parts")


class CallerRequest(Struct):
    """One attempt of a caller.

    Attributes:
        request_id (str): Unique to the attempt.
        method (str): HTTP method.
        host (str): Value of the Host header.
        target_path (str): Path and query as the caller sent them.
        key (str or None): The caller's key.
        caller_timeout_s (float or None): How long the caller will wait.
        last_event_id (str or None): Event after which a stream is to go on.
        prompt (Prompt or None): For requests to engines.
        piece_counts (tuple of int): Pieces of each stage; empty without stages.
        piece_key (str): Input of the stages that need no others.
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
    )

    @property
    def path(self):
        """The path without its query."""
        return self.target_path.partition("?")[0]
