"""Schedulers of target pools: queueing, batching and placement."""
