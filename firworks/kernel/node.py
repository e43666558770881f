"""The kernel of one daemon: parts that exchange typed signals and perform no I/O."""

from functools import singledispatchmethod
from inspect import getattr_static

from firworks.kernel.messages import Action, Signal


class Part:
    """A component of the kernel with a single responsibility.

    Subclasses define ``handle`` with `functools.singledispatchmethod` and register
    a method for each type of event that they handle. The kernel does not pass other
    events to them.

    Attributes:
        DISPATCHER (str): Name of the method whose registrations determine which
            events the part handles; a part whose ``handle`` wraps another dispatch
            method gives the name of that method.
    """

    DISPATCHER = "handle"

    def handle(self, event, now):
        """Handle an event and return a list of actions and signals.

        Args:
            event (Event): The event.
            now (float): Monotonic time in seconds.
        """
        return []


class Kernel:
    """Dispatches events to its parts, deterministically.

    The same seed, settings and events give the same actions.

    Args:
        parts (iterable of Part): The parts, in the order in which they get an event.
    """

    def __init__(self, parts):
        self.parts = list(parts)
        self._handlers = {}

    def handle(self, event, now):
        """Handle an event and return the resulting actions.

        Signals raised by a part are delivered to all parts, in the order raised,
        before this method returns.

        Args:
            event (Event): The event.
            now (float): Monotonic time in seconds.

        Returns:
            list of Action: In the order raised.

        Raises:
            TypeError: If a part returns something that is neither action nor signal.
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
                        raise TypeError(
                            f"{handler.__qualname__} returned {result!r}, "
                            "which is neither an Action nor a Signal"
                        )
        return actions

    def _find_handlers(self, kind):
        """Return the handlers of a type of event; resolved once per type."""
        handlers = self._handlers.get(kind)
        if handlers is None:
            handlers = [
                _resolve_handler(part, kind)
                for part in self.parts
                if _handles_event(part, kind)
            ]
            self._handlers[kind] = handlers
        return handlers


def _handles_event(part, kind):
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
