"""At-most-once execution of non-repeatable requests by idempotency key."""
