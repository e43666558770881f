"""Extra attempts of slow requests: when they are due, and what limits them."""
