"""The kernel of one daemon: parts that exchange typed signals, and no I/O."""

from functools import singledispatchmethod
from inspect import getattr_static

from firworks.kernel.messages import Action, Signal


class Part:
    """A part of the kernel with one job.

    Subclasses define ``handle`` with `functools.singledispatchmethod` and register
    a method for each event they care about. The kernel leaves a part out of the
    events for which it has none.

    Attributes:
        DISPATCHER (str): Name of the method whose registrations tell which events
            the part takes; a part that wraps its dispatch names the inner method.
    """

    DISPATCHER = "handle"

    def handle(self, event, now):
        """Take one event and return a list of actions and signals.

        Args:
            event (Event): What happened.
            now (float): Monotonic time in seconds.
        """
        return []


class Kernel:
    """Composes parts; the same seed, settings and events give the same actions.

    Args:
        parts (iterable of Part): Each event reaches them in this order.
    """

    def __init__(self, parts):
        self.parts = list(parts)
        self._handlers = {}

    def handle(self, event, now):
        """Take one event and return the actions that follow from it.

        Signals raised by a part are delivered to all parts, in the order raised,
        before this method returns.

        Args:
            event (Event): What happened.
            now (float): Monotonic time in seconds.

        Returns:
            list of Action: In the order raised.

        Raises:
            TypeError: When a part returns something that is neither.
        """
        actions = []
        pending = [event]
        for current in pending:
            for handler in self._find_handlers(type(current)):
                for result in handler(current, now):
                    if isinstance(result, Signal):
                        pending.append(result)
                    elif isinstance(result, Action):
                        actions.append(result)
                    else:
                        raise TypeError(f"{handler.__qualname__} returned {result!r}")
        return actions

    def _find_handlers(self, kind):
        """Return the parts' methods for a type of event, resolved once per type."""
        handlers = self._handlers.get(kind)
        if handlers is None:
            handlers = [
                _resolve_handler(part, kind)
                for part in self.parts
                if _takes_event(part, kind)
            ]
            self._handlers[kind] = handlers
        return handlers


def _takes_event(part, kind):
    method = getattr_static(type(part), part.DISPATCHER)
    if not isinstance(method, singledispatchmethod) or "handle" in vars(part):
        return True
    dispatch = method.dispatcher.dispatch
    return dispatch(kind) is not dispatch(object)


def _resolve_handler(part, kind):
    method = getattr_static(type(part), "handle")
    if isinstance(method, singledispatchmethod) and "handle" not in vars(part):
        return method.dispatcher.dispatch(kind).__get__(part)
    return part.handle
