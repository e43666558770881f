"""Requests and schedulers for tests of placements that are rated by time."""

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools.engines import BY_TIME, EngineScheduler
from firworks.kernel.pools.jobs import EngineJob

PARTS = (("first", 2520), ("subject", 3780))


def make_job(name, parts=PARTS, own=2890, **changes):
    """Return an `EngineJob` with an own part."""
    ids = (*(part for part, _ in parts), f"own-{name}")
    tokens = (*(count for _, count in parts), own)
    job = EngineJob(name, ids, tokens, sum(tokens), 90, 1, 5000.0, 9000.0, (), (), ())
    return job.replace(**changes) if changes else job


def make_targets(count, domains=3):
    """Return the `Target` of some engines."""
    return [
        Target(
            f"e{i}", "engine", "10.0.0.1:1", f"fd-{i % domains}", "", 16, False, 1, 0
        )
        for i in range(count)
    ]


def make_scheduler(count, slots=16, memory_tokens=282_344):
    """Return an `EngineScheduler` that rates by time, with engines."""
    spec = EngineSpec(slots, memory_tokens, 0)
    scheduler = EngineScheduler(spec, placement=BY_TIME)
    scheduler.set_targets(make_targets(count), 0.0)
    return scheduler


def place(scheduler, job, now):
    """Submit a request and return its `Target`."""
    (action,) = scheduler.submit(job, now)
    return action.target


def serve(scheduler, job, now, first_s=0.1):
    """Submit a request whose first event comes after some time, and end it."""
    target = place(scheduler, job, now)
    scheduler.note_begun(job.job_id, now + first_s)
    scheduler.end(job.job_id, False, now + first_s + 0.5)
    return target
