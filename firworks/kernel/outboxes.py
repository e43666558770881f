"""What waits to be told to each neighbour."""

from firworks.kernel.topics import URGENT_PRIORITY, find_priority


class Outboxes:
    """Identities of facts that wait, by neighbour.

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
        """Queue a fact; one that waits already keeps its place."""
        self._queues.setdefault(peer, {}).setdefault(identity, now)
        if find_priority(identity[0]) <= URGENT_PRIORITY:
            self._urgent.setdefault(peer, {})[identity] = None

    def discard(self, peer, identity):
        """Drop a fact; returns the time at which it was queued, or None."""
        self._urgent.get(peer, {}).pop(identity, None)
        return self._queues.get(peer, {}).pop(identity, None)

    def keep(self, peers):
        """Drop the queues of all but these neighbours."""
        for peer in [peer for peer in self._queues if peer not in peers]:
            del self._queues[peer]
            self._urgent.pop(peer, None)

    def has_urgent(self, peer):
        """Whether a fact waits that should not wait for the next period."""
        return bool(self._urgent.get(peer))

    def list_waiting(self, peers):
        """Return pairs of peer and identity: most urgent first, then oldest."""
        waiting = [
            (find_priority(identity[0]), queued_s, order, peer, identity)
            for order, peer in enumerate(peers)
            for identity, queued_s in self._queues.get(peer, {}).items()
        ]
        waiting.sort(key=lambda item: item[:3])
        return [(peer, identity) for _, _, _, peer, identity in waiting]

    def take(self, peer, identity, now):
        """Remove a fact that is being sent and note how long it waited."""
        waited_s = now - self.discard(peer, identity)
        topic = identity[0]
        longest_s = self.longest_waits.get(topic, 0.0)
        self.longest_waits[topic] = max(longest_s, waited_s)

    def measure_oldest(self, now):
        """Return the age in seconds of the oldest fact that waits; 0 without one."""
        queues = self._queues.values()
        return now - min((s for queue in queues for s in queue.values()), default=now)
