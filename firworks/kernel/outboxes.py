"""What waits to be told to each neighbour."""

from firworks.kernel.topics import find_priority


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

    def put(self, peer, identity, now):
        """Queue a fact; one that waits already keeps its place."""
        self._queues.setdefault(peer, {}).setdefault(identity, now)

    def discard(self, peer, identity):
        """Drop a fact that the neighbour has told itself."""
        self._queues.get(peer, {}).pop(identity, None)

    def keep(self, peers):
        """Drop the queues of all but these neighbours."""
        for peer in [peer for peer in self._queues if peer not in peers]:
            del self._queues[peer]

    def is_hurried(self, peer, priority):
        """Whether a fact of this priority or a more urgent one waits."""
        topics = (identity[0] for identity in self._queues.get(peer, ()))
        return any(find_priority(topic) <= priority for topic in topics)

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
        waited_s = now - self._queues[peer].pop(identity)
        topic = identity[0]
        longest_s = self.longest_waits.get(topic, 0.0)
        self.longest_waits[topic] = max(longest_s, waited_s)

    def measure_oldest(self, now):
        """Return the age in seconds of the oldest fact that waits; 0 without one."""
        queues = self._queues.values()
        return now - min((s for queue in queues for s in queue.values()), default=now)
