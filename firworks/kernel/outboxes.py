"""Queues of the facts to be sent to each gossip peer."""

from firworks.kernel.topics import URGENT_PRIORITY, find_priority


class Outboxes:
    """Identities (topic first) of queued facts, by peer.

    Attributes:
        longest_waits (dict of str to float): Longest wait in seconds, by topic.
        deferred (int): How often a fact did not fit into a digest that was sent.
    """

    def __init__(self):
        self.longest_waits = {}
        self.deferred = 0
        self._queues = {}
        self._urgent = {}

    def put(self, peer, identity, now):
        """Queue a fact; one that is already queued keeps its queueing time."""
        self._queues.setdefault(peer, {}).setdefault(identity, now)
        if find_priority(identity[0]) <= URGENT_PRIORITY:
            self._urgent.setdefault(peer, {})[identity] = None

    def discard(self, peer, identity):
        """Remove a fact; returns the time at which it was queued, or None."""
        self._urgent.get(peer, {}).pop(identity, None)
        return self._queues.get(peer, {}).pop(identity, None)

    def retain(self, peers):
        """Remove the queues of all other peers."""
        for peer in [peer for peer in self._queues if peer not in peers]:
            del self._queues[peer]
            self._urgent.pop(peer, None)

    def has_urgent(self, peer):
        """Whether a queued fact must be sent before the next gossip period."""
        return bool(self._urgent.get(peer))

    def list_waiting(self, peers):
        """Return pairs of peer and identity, by priority, then oldest first."""
        waiting = [
            (find_priority(identity[0]), queued_s, order, peer, identity)
            for order, peer in enumerate(peers)
            for identity, queued_s in self._queues.get(peer, {}).items()
        ]
        waiting.sort(key=lambda item: item[:3])
        return [(peer, identity) for _, _, _, peer, identity in waiting]

    def pop(self, peer, identity, now):
        """Remove a fact that is being sent and record how long it waited."""
        waited_s = now - self.discard(peer, identity)
        topic = identity[0]
        longest_s = self.longest_waits.get(topic, 0.0)
        self.longest_waits[topic] = max(longest_s, waited_s)

    def measure_oldest(self, now):
        """Return the age in seconds of the oldest queued fact; 0 without one."""
        queues = self._queues.values()
        return now - min((s for queue in queues for s in queue.values()), default=now)
