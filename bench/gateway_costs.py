"""Measures what one poll, one word to followers, one placement and one batch cost.

Run ``python -m bench.gateway_costs``. Times are processor time of the calling process,
the median of several rounds; they hold for the machine on which they are taken.
"""

import json
import statistics
import time

import fire

from firworks.gateway.state import TargetsListener
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.forwarding.configuration import EngineSpec, StagePoolSpec
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.evacuations import NO_EVACUATIONS
from firworks.kernel.forwarding.news import TargetEntry, digest_targets
from firworks.kernel.forwarding.positions import ORIGIN
from firworks.kernel.forwarding.readers import StoreFacts
from firworks.kernel.pools.accounts import AccountShares
from firworks.kernel.pools.engines import BY_TIME, BY_TOKENS, EngineScheduler
from firworks.kernel.pools.jobs import EngineJob, PieceJob
from firworks.kernel.pools.stages import StageScheduler
from firworks.platform.records import decode_keyed, encode_keyed

ROUNDS = 30
ENGINE_SLOTS = 64
ENGINE_TOKENS = 600_000
STAGE = StagePoolSpec(1, 2, 22, 0.2, 0.0078, 2_961_540, 4.0)


def measure_us(prepare, act):
    """Return the median processor time (float) of an act in microseconds.

    Args:
        prepare (callable): Returns the argument of the act; not timed.
        act (callable): What is measured.
    """
    times = []
    for _ in range(ROUNDS):
        argument = prepare()
        begun_ns = time.process_time_ns()
        act(argument)
        times.append((time.process_time_ns() - begun_ns) / 1000)
    return statistics.median(times)


def make_targets(count, service="pool"):
    """Return some targets, spread over three failure domains."""
    return [
        Target(
            f"t-{i}", service, f"10.0.0.1:{i + 1}", f"fd-{i % 3}", "v", 4, False, 1, 0.0
        )
        for i in range(count)
    ]


def make_entry(target):
    """Return the record by which a target refreshes its entry (bytes)."""
    table = {
        "service": target.service,
        "address": target.address,
        "zone": target.failure_domain,
        "version": target.version,
        "slots": target.slots,
        "state": "ready",
        "cold-left-ms": 0,
        "sequence": 1,
        "born": target.born_ms,
    }
    return encode_keyed(target.target_id, json.dumps(table).encode())


def measure_poll(count):
    """Return the time to take in one refreshed entry of each of some targets."""
    targets = make_targets(count)
    listener = TargetsListener(lambda: 0.0, lambda: None, lambda ok: None)
    listener.apply_peer_report(targets)
    records = [make_entry(target) for target in targets]

    def take(records):
        for record in records:
            listener.apply_value(decode_keyed(record))

    return measure_us(lambda: records, take)


def measure_word(count):
    """Return the time to make and to read a word that one of some targets leaves."""
    targets = make_targets(count)
    changed = (TargetEntry(*targets[0].values()),)

    def tell(targets):
        facts = StoreFacts(
            1,
            ORIGIN,
            digest_targets(targets),
            changed,
            (),
            b"",
            b"",
            (),
            (),
            NO_EVACUATIONS,
        )
        decode_record(encode_record(facts))
        digest_targets(targets)

    return measure_us(lambda: targets, tell)


def measure_placement(count, placement):
    """Return the time to place a request on one of some half-filled engines."""
    numbers = iter(range(1_000_000))

    def make_job(number):
        ids = (f"shared-{number % 7}", f"own-{number}")
        return EngineJob(
            str(number), ids, (6300, 500), 6800, 80, 1, 4.0, 9.0, (), (), ()
        )

    spec = EngineSpec(ENGINE_SLOTS, ENGINE_TOKENS, 0)
    scheduler = EngineScheduler(spec, placement=placement)
    scheduler.set_targets(make_targets(count), 0.0)
    for _ in range(count * ENGINE_SLOTS // 2):
        scheduler.submit(make_job(next(numbers)), 0.0)

    def prepare():
        job = make_job(next(numbers))
        # As many requests run in each round.
        scheduler.end(str(int(job.job_id) - 1), False, 0.1)
        return job

    return measure_us(prepare, lambda job: scheduler.submit(job, 0.1))


def measure_batch(waiting, accounts=0):
    """Return the time to form one full call from some waiting jobs of two pieces.

    Args:
        waiting (int): Number of jobs.
        accounts (int): Number of client accounts with fair shares; 0 for no shares.
    """

    def prepare():
        scheduler = StageScheduler(STAGE, shares=AccountShares() if accounts else None)
        for number in range(waiting):
            job = PieceJob(
                str(number),
                str(number),
                0,
                2,
                "k",
                (),
                60_000,
                1,
                5.0,
                9.0,
                0.2,
                (),
                (),
                b"",
                account=f"account-{number % accounts}" if accounts else "",
            )
            scheduler.submit(job, 0.0)
        return scheduler

    targets = make_targets(1)
    return measure_us(prepare, lambda one: one.set_targets(targets, 0.0))


def measure_arrival(waiting, accounts):
    """Return the time to estimate the wait of a job that arrives at some others.

    Args:
        waiting (int): Number of jobs that wait.
        accounts (int): Number of client accounts with fair shares; 0 for no shares.
    """
    job = PieceJob(
        "x", "x", 0, 2, "k", (), 60_000, 1, 5.0, 9.0, 0.2, (), (), b"", "account-0"
    )

    def prepare():
        scheduler = StageScheduler(STAGE, shares=AccountShares() if accounts else None)
        for number in range(waiting):
            account = f"account-{number % accounts}" if accounts else ""
            one = job.replace(job_id=str(number), account=account)
            scheduler.submit(one, 0.0)
        scheduler.set_targets(make_targets(1), 0.0)
        return scheduler

    return measure_us(prepare, lambda one: one.estimate_wait(job, 0.1))


def main():
    """Print one line for each cost."""
    for count in (27, 131, 650):
        print(f"poll of {count} targets: {measure_poll(count):.0f} us")
        print(f"word about {count} targets: {measure_word(count):.0f} us")
    for placement in (BY_TOKENS, BY_TIME):
        for count in (5, 36, 70, 650):
            cost_us = measure_placement(count, placement)
            print(f"placement by {placement} among {count}: {cost_us:.0f} us")
    for waiting in (20, 100, 400):
        print(f"batch from {waiting} waiting jobs: {measure_batch(waiting):.0f} us")
        for accounts in (1, 16, 1300):
            print(
                f"the same in fair shares of {accounts} accounts: "
                f"{measure_batch(waiting, accounts):.0f} us"
            )
    for accounts in (0, 16, 1300):
        print(
            f"arrival at 400 waiting jobs, fair shares of {accounts} accounts: "
            f"{measure_arrival(400, accounts):.0f} us"
        )


if __name__ == "__main__":
    fire.Fire(main)
