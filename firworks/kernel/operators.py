"""Passes the ledger's answers on to the operators who asked."""

from functools import singledispatchmethod

from firworks.kernel.ledger.records import LookupCompleted
from firworks.kernel.messages import Action
from firworks.kernel.node import Part


class SendLookupResult(Action):
    """Answer an operator's lookup or resolution.

    Attributes:
        lookup_id (str): The lookup.
        state (str): As in `LookupCompleted`.
        answer (bytes): The kept answer, when there is one.
    """

    __slots__ = ("lookup_id", "state", "answer")


class OperatorResponder(Part):
    """Turns signals for operators into actions."""

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part`."""
        return []

    @handle.register
    def _(self, event: LookupCompleted, now):
        return [SendLookupResult(event.lookup_id, event.state, event.response)]
