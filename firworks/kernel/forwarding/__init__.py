"""Request forwarding: admission, routing, load balancing, retries and quarantine."""
