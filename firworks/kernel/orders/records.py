"""Records of the control stream, and what passes between orders and engines."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Action, Event, Record, Struct

# Values of `OrderCompleted.result`.
ORDER_ACCEPTED = "accepted"  # the engine converges to the wanted state
ORDER_STALE = "stale"  # the engine has seen a newer fencing number
ORDER_FAILED = "failed"  # refused, or no answer in time; it may have taken effect
ORDER_EXPIRED = "expired"  # not sent, because its time was over


def get_control_stream_name(environment):
    """Return the name of an environment's control stream."""
    return f"control-{environment}"


@register_record
class Term(Record):
    """A daemon takes or renews the right to give orders in a scope.

    It is granted when no term of its scope was written from `position` on before
    it; its offset is then the fencing number of its orders.

    Attributes:
        scope (str): The pool.
        issuer (str): Incarnation of the daemon.
        term_id (str): Unique; a copy of the record has the same.
        position (int): The offset that follows the entries the daemon had read.
    """

    __slots__ = ("scope", "issuer", "term_id", "position")
    TYPES = (str, str, str, int)


@register_record
class SlotRequest(Record):
    """A daemon asks to begin one load from the weight store.

    Attributes:
        slot_id (str): Unique; a copy of the record has the same.
    """

    __slots__ = ("slot_id",)
    TYPES = (str,)


@register_record
class SlotRelease(Record):
    """The load of a slot is over, or was refused and never begins."""

    __slots__ = ("slot_id",)
    TYPES = (str,)


class EngineState(Struct):
    """What an engine holds, or is to hold.

    Attributes:
        models (tuple of str): Sorted; "name" or "name@version".
        adapters (tuple of str): Sorted; "model/adapter".
        role (str): Its role, or "" when it has none.
    """

    __slots__ = ("models", "adapters", "role")
    DEFAULTS = {"adapters": (), "role": ""}

    def needs_load(self, wanted):
        """Return whether a `wanted` state holds weights that this one lacks."""
        lacking = set(wanted.models) - set(self.models)
        return bool(lacking or set(wanted.adapters) - set(self.adapters))


class InspectEngine(Action):
    """Ask an engine what it holds; answered by `EngineInspected`, or not at all."""

    __slots__ = ("target",)


class OrderEngine(Action):
    """Order an engine to converge to a state.

    Attributes:
        order_id (str): Echoed by `OrderCompleted`.
        target (str): The engine.
        fencing (int): Fencing number of the issuer's term.
        wanted (EngineState): The whole end state.
        send_before_s (float): Kernel time after which it must not be sent.
        timeout_s (float): From sending; the order is then withdrawn.
    """

    __slots__ = (
        "order_id",
        "target",
        "fencing",
        "wanted",
        "send_before_s",
        "timeout_s",
    )


class OrderCompleted(Event):
    """An order is over: `result` is one of the ``ORDER_`` constants."""

    __slots__ = ("order_id", "target", "result")


class EngineInspected(Event):
    """An engine showed its state.

    Attributes:
        target (str): The engine.
        state (EngineState): What it holds.
        loading (bool): It is converging to an order.
    """

    __slots__ = ("target", "state", "loading")
    DEFAULTS = {"loading": False}
