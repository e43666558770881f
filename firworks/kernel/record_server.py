"""What the parts that keep records in log streams have in common."""

from firworks.kernel.messages import SendPeer
from firworks.kernel.node import Part


class RecordServer(Part):
    """Submits its own records through an outbox, and serves streams to its peers.

    This daemon is one of its own peers: what it tells itself is taken at once.
    Subclasses set ``_name`` and ``_outbox`` and define ``_take``, for events,
    ``_receive_message``, for peers' messages, and ``_list_streams``.
    """

    DISPATCHER = "_take"

    def handle(self, event, now):
        """Take one event; see `Part.handle`."""
        results = self._take(event, now)
        return results + self._settle(now)

    @property
    def flushed(self):
        """Whether the log has all that this daemon has to tell it."""
        return not self._outbox

    def _send(self, peer, message, now):
        """Send a message to a peer, or take it at once when it is for this daemon."""
        if peer == self._name:
            return self._receive_message(message, peer, now)
        return [SendPeer(peer, message)]

    def _deliver(self, replies, now):
        """Send each `Reply` to where its question came from."""
        results = []
        for reply in replies:
            results += self._send(reply.origin, reply.message, now)
        return results

    def _settle(self, now):
        """Act on what is due until nothing more is."""
        results = []
        submissions = self._outbox.poll(now)
        while submissions:
            for action in submissions:
                results += self._send(action.peer, action.message, now)
            submissions = self._outbox.poll(now)
        for stream in self._list_streams():
            results += stream.poll(now)
        return results
