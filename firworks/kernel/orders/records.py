"""Records of the control stream, and actions and events of engine orders."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Action, Event, Record, Struct

# Values of `OrderCompleted.result`.
ORDER_ACCEPTED = "accepted"  # the engine converges to the desired state
ORDER_STALE = "stale"  # the engine has seen a newer fencing number
ORDER_FAILED = "failed"  # refused, or no response in time; may have taken effect
ORDER_EXPIRED = "expired"  # not sent, because its time to send had passed


def get_control_stream_name(environment):
    """Return the name of an environment's control stream."""
    return f"control-{environment}"


@register_record
class Term(Record):
    """Requests or renews a daemon's exclusive right to issue orders in a scope.

    It is granted if the log has no other term of its scope between `position` and
    its own offset. Its offset is then the fencing number of the orders.

    Attributes:
        scope (str): The pool.
        issuer (str): Incarnation of the daemon.
        term_id (str): Unique; the same in a duplicate of the record.
        position (int): The offset after the entries that the daemon had read.
    """

    __slots__ = ("scope", "issuer", "term_id", "position")
    TYPES = (str, str, str, int)


@register_record
class SlotRequest(Record):
    """Requests a slot for one load from the weight store.

    Attributes:
        slot_id (str): Unique; the same in a duplicate of the record.
    """

    __slots__ = ("slot_id",)
    TYPES = (str,)


@register_record
class SlotRelease(Record):
    """Releases a slot: its load has ended, or was refused and never starts."""

    __slots__ = ("slot_id",)
    TYPES = (str,)


class EngineState(Struct):
    """The actual or desired state of an engine.

    Attributes:
        models (tuple of str): Sorted; "name" or "name@version".
        adapters (tuple of str): Sorted; "model/adapter".
        role (str): The engine's role, "" if it has none.
    """

    __slots__ = ("models", "adapters", "role")
    DEFAULTS = {"adapters": (), "role": ""}

    def needs_load(self, desired):
        """Return whether the `desired` state has weights that this one lacks."""
        missing = set(desired.models) - set(self.models)
        return bool(missing or set(desired.adapters) - set(self.adapters))


class InspectEngine(Action):
    """Query an engine's state; the result is `EngineInspected`, or none at all."""

    __slots__ = ("target",)


class OrderEngine(Action):
    """Order an engine to converge to a state.

    Attributes:
        order_id (str): Echoed by `OrderCompleted`.
        target (str): The engine.
        fencing (int): Fencing number of the issuer's term.
        desired (EngineState): The complete desired state.
        send_before_s (float): Kernel time in seconds after which it must not be sent.
        timeout_s (float): Seconds from sending after which it is cancelled.
    """

    __slots__ = (
        "order_id",
        "target",
        "fencing",
        "desired",
        "send_before_s",
        "timeout_s",
    )


class OrderCompleted(Event):
    """An order has ended; `result` is one of the ``ORDER_`` constants."""

    __slots__ = ("order_id", "target", "result")


class EngineInspected(Event):
    """An engine reported its state.

    Attributes:
        target (str): The engine.
        state (EngineState): What it holds.
        loading (bool): Whether it is converging to an order.
    """

    __slots__ = ("target", "state", "loading")
    DEFAULTS = {"loading": False}
