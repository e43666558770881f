"""Fleet membership, failure detection and gossip."""
