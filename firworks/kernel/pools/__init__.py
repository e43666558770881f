"""Schedulers of target pools: queues, batches and placement."""
