"""Base class of the parts that keep records in log streams."""

from firworks.kernel.messages import SendPeer
from firworks.kernel.node import Part


class RecordServer(Part):
    """Submits its own records through an outbox and serves streams to its peers.

    This daemon is one of its own peers: messages to itself are handled at once.
    Subclasses set ``_name`` and ``_outbox`` and define ``_take``, which handles
    events, ``_receive_message``, which handles peers' messages, and
    ``_list_streams``.
    """

    DISPATCHER = "_take"

    def handle(self, event, now):
        """Handle an event; see `Part.handle`."""
        results = self._take(event, now)
        return results + self._run_due_work(now)

    @property
    def flushed(self):
        """Whether no record submitted by this daemon is pending."""
        return not self._outbox

    def _send(self, peer, message, now):
        """Send a message to a peer; one to this daemon is handled at once."""
        if peer == self._name:
            return self._receive_message(message, peer, now)
        return [SendPeer(peer, message)]

    def _deliver(self, replies, now):
        """Send each `Reply` to the origin of its request."""
        results = []
        for reply in replies:
            results += self._send(reply.origin, reply.message, now)
        return results

    def _run_due_work(self, now):
        """Send due submissions until none is left, then poll the streams."""
        results = []
        submissions = self._outbox.poll(now)
        while submissions:
            for action in submissions:
                results += self._send(action.peer, action.message, now)
            submissions = self._outbox.poll(now)
        for stream in self._list_streams():
            results += stream.poll(now)
        return results
