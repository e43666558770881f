"""Fleet-wide rate and concurrency limits of client accounts."""
