"""Gossip rules of each topic: priority, scope and forwarding."""

from firworks.kernel.fleet.digests import TOPIC_MEMBER
from firworks.kernel.fleet.events import (
    TOPIC_CONFIGURATION,
    TOPIC_DEMAND,
    TOPIC_LOAD,
    TOPIC_LOAN,
    TOPIC_QUARANTINE,
    TOPIC_TARGET_DOWN,
    TOPIC_TARGET_LEAVING,
)

# Lower numbers are sent first; topics that are not listed come last.
PRIORITIES = {
    TOPIC_CONFIGURATION: 0,
    TOPIC_TARGET_LEAVING: 1,
    TOPIC_TARGET_DOWN: 1,
    TOPIC_MEMBER: 2,
    TOPIC_QUARANTINE: 3,
    TOPIC_DEMAND: 4,
    TOPIC_LOAN: 4,
    TOPIC_LOAD: 5,
}
LAST_PRIORITY = 6
URGENT_PRIORITY = 3  # facts up to this number do not wait for the next period

# Topics that stay within the cell, and topics that receivers do not forward.
CELL_TOPICS = (TOPIC_LOAD,)
DIRECT_TOPICS = (TOPIC_LOAD, TOPIC_DEMAND, TOPIC_LOAN)

# Topics whose key names the only recipient of the fact.
ADDRESSED_TOPICS = (TOPIC_LOAN,)


def find_priority(topic):
    """Return the priority of a topic; the lowest number is the most urgent."""
    return PRIORITIES.get(topic, LAST_PRIORITY)


def is_shared(topic):
    """Whether facts of a topic are forwarded to the entire fleet."""
    return topic not in DIRECT_TOPICS
