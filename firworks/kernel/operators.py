"""Sends the ledger's lookup results to the operators who requested them."""

from functools import singledispatchmethod

from firworks.kernel.ledger.records import LookupCompleted
from firworks.kernel.messages import Action
from firworks.kernel.node import Part


class SendLookupResult(Action):
    """Send an operator the result of a lookup or resolution.

    Attributes:
        lookup_id (str): The lookup.
        state (str): As in `LookupCompleted`.
        response (bytes): The stored response, if there is one.
    """

    __slots__ = ("lookup_id", "state", "response")


class OperatorResponder(Part):
    """Turns `LookupCompleted` signals into `SendLookupResult` actions."""

    @singledispatchmethod
    def handle(self, event, now):
        """Handle an event; see `Part`."""
        return []

    @handle.register
    def _(self, event: LookupCompleted, now):
        return [SendLookupResult(event.lookup_id, event.state, event.response)]
