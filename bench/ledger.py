"""Measures the ledger; prints one table per subject.

``python -m bench.ledger rate`` decisions a second of one stream, and their latency.
``python -m bench.ledger fleet`` appends a second of the fleet.
``python -m bench.ledger rebuild`` rebuilding a stream's state, and memory per claim.
``python -m bench.ledger relay`` three failure domains, one without the log for a
minute.
``python -m bench.ledger failover`` the death of a stream's usual writer.

Kernels run under a virtual clock with ticks every 50 ms; a log read takes as long as
an append, both within a fifth of the delay. Only processor time and memory depend on
the machine.
"""

import gc
import sys
from pathlib import Path
from resource import getpagesize
from time import perf_counter

import cbor2

from bench.ledger_model import EPOCH_S, LedgerFleet
from firworks.kernel.appends import BUDGET_SHARE
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.ledger.records import ClaimRecord, OutcomeRecord
from firworks.kernel.ledger.state import LedgerState
from firworks.kernel.messages import LogEntry

SEED = 1
WARM_S = 5.0
LOAD_S = 20.0
CELL_SIZE = 18
CLAIMS_PER_ENTRY = 50
FLEET_LOAD_S = 10.0
FLEETS = ((18, 4, 5), (18, 4, 60), (330, 16, 300), (330, 16, 1_100), (330, 64, 1_100))
ANSWER_BYTES = 100


def pick(values, share):
    """Return the quantile of a list of numbers; 0 for an empty one."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def measure_rate(interval_s, delay_s, rate_per_s):
    """Return claims decided a second, median and 95th latency (s), CPU per claim."""
    # One ledger stream shares its budget with the deferred one.
    budget = 2 / interval_s / BUDGET_SHARE
    fleet = LedgerFleet(
        CELL_SIZE, delay_s, ledger_streams=1, append_budget_per_s=budget
    )
    fleet.run(WARM_S)
    fleet.busy_s = 0.0
    fleet.load(rate_per_s, LOAD_S, SEED)
    fleet.run(LOAD_S)
    decided = len(fleet.decided)
    cpu_s = fleet.busy_s
    fleet.run(10.0)
    latency = [at - fleet.asked[claim_id] for claim_id, at in fleet.decided.items()]
    refused = len(fleet.refused)
    rate = decided / LOAD_S
    cpu = cpu_s / max(1, decided)
    return rate, refused, pick(latency, 0.5), pick(latency, 0.95), cpu


def show_rate():
    """Print decisions a second and latency by interval, delay and load."""
    print("interval ms  delay ms  asked/s  won/s  refused  p50 ms  p95 ms  CPU us")
    for interval_s in (0.01, 0.05, 0.2):
        for delay_s in (0.005, 0.05, 0.5):
            for rate_per_s in (20, 200, 1_000):
                found = measure_rate(interval_s, delay_s, rate_per_s)
                rate, refused, p50, p95, cpu = found
                print(
                    f"{interval_s * 1e3:11.0f}  {delay_s * 1e3:8.0f}  {rate_per_s:7d}"
                    f"  {rate:5.0f}  {refused:7d}  {p50 * 1e3:6.0f}  {p95 * 1e3:6.0f}"
                    f"  {cpu * 1e6:6.0f}",
                    flush=True,
                )


def show_fleet():
    """Print appends a second of the fleet by its size and load."""
    head = "daemons  streams  claims/s  delay ms  appends/s  p50 ms  p95 ms"
    print(f"{head}  mean core %  busiest core %")
    for size, streams, claims_per_s in FLEETS:
        for delay_s in (0.005, 0.05, 0.5):
            fleet = LedgerFleet(size, delay_s, ledger_streams=streams)
            fleet.run(WARM_S)
            fleet.appends = 0
            fleet.busy_s = 0.0
            fleet.busy_by_s.clear()
            fleet.load(claims_per_s, FLEET_LOAD_S, SEED)
            fleet.run(FLEET_LOAD_S)
            appends = fleet.appends / FLEET_LOAD_S
            core = fleet.busy_s / FLEET_LOAD_S / size
            busiest = max(fleet.busy_by_s.values()) / FLEET_LOAD_S
            fleet.run(5.0)
            latency = [at - fleet.asked[i] for i, at in fleet.decided.items()]
            print(
                f"{size:7d}  {streams:7d}  {claims_per_s:8d}  {delay_s * 1e3:8.0f}"
                f"  {appends:9.1f}  {pick(latency, 0.5) * 1e3:6.0f}"
                f"  {pick(latency, 0.95) * 1e3:6.0f}  {core * 100:11.2f}"
                f"  {busiest * 100:14.2f}",
                flush=True,
            )


def make_key(number):
    """Return the key of a numbered claim."""
    return WorkKey("account-0001", "loans", f"0193c5a0-0000-7000-{number:012d}")


def make_entries(count):
    """Yield encoded log entries of claims with their outcomes."""
    for first in range(0, count, CLAIMS_PER_ENTRY):
        records = []
        for number in range(first, min(count, first + CLAIMS_PER_ENTRY)):
            claim_id = f"daemon-0001/0193c5a0/{number}#1"
            claim = ClaimRecord(
                claim_id, make_key(number), number.to_bytes(32, "big"), EPOCH_S
            )
            answer = number.to_bytes(ANSWER_BYTES, "big")
            records += [claim, OutcomeRecord(claim_id, answer)]
        yield cbor2.dumps([encode_record(record) for record in records])


def read_memory_bytes():
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * getpagesize()


def measure_rebuild(count):
    """Return seconds to decode and apply, and bytes: stored, held and estimated."""
    state = LedgerState(86_400.0, 60.0)
    gc.collect()
    before = read_memory_bytes()
    spent_s = 0.0
    stored = 0
    for offset, data in enumerate(make_entries(count)):
        stored += len(data)
        start = perf_counter()
        records = tuple(decode_record(item) for item in cbor2.loads(data))
        state.apply_entry(LogEntry(offset, EPOCH_S, records))
        spent_s += perf_counter() - start
    gc.collect()
    held = read_memory_bytes() - before
    return spent_s, stored, held, state.size_bytes


def show_rebuild():
    """Print rebuild time and memory by the number of claims."""
    print("claims   seconds  us/claim  log bytes/claim  held bytes/claim  estimate")
    for count in (10_000, 100_000, 1_000_000):
        spent_s, stored, held, estimate = measure_rebuild(count)
        print(
            f"{count:7d}  {spent_s:7.2f}  {spent_s / count * 1e6:8.1f}"
            f"  {stored / count:15.0f}  {held / count:16.0f}  {estimate / count:8.0f}",
            flush=True,
        )


def measure_relay(relay, rate_per_s, delay_s):
    """Return the share of claims won in time, in the cut domain and elsewhere."""
    fleet = LedgerFleet(CELL_SIZE, delay_s, relay=relay)
    cut = set(fleet.names[::3])
    fleet.run(WARM_S)
    fleet.load(rate_per_s, 60.0, SEED)
    fleet.cut = cut
    fleet.run(60.0)
    fleet.cut = set()
    fleet.run(20.0)
    shares = []
    for inside in (True, False):
        asked = [i for i, name in fleet.holders.items() if (name in cut) == inside]
        won = [i for i in asked if i in fleet.decided]
        shares.append(len(won) / len(asked))
    latency = [at - fleet.asked[i] for i, at in fleet.decided.items()]
    return *shares, pick(latency, 0.5), pick(latency, 0.95), fleet.appends / 80.0


def show_relay():
    """Print attainment with and without the relay."""
    print("relay  claims/s  cut domain %  other domains %  p50 ms  p95 ms  appends/s")
    for rate_per_s in (5, 60):
        for relay in (False, True):
            found = measure_relay(relay, rate_per_s, 0.05)
            inside, outside, p50, p95, appends = found
            print(
                f"{relay!s:5}  {rate_per_s:8d}  {inside * 100:12.1f}"
                f"  {outside * 100:15.1f}  {p50 * 1e3:6.0f}  {p95 * 1e3:6.0f}"
                f"  {appends:9.1f}",
                flush=True,
            )


def measure_failover(standbys, claims):
    """Return latencies (s) around the death of a stream's usual writer.

    Args:
        standbys (int): Daemons next in line that follow the stream.
        claims (int): Claims that the stream already holds.

    Returns:
        tuple: Share won in time, median, 95th and longest latency.
    """
    fleet = LedgerFleet(CELL_SIZE, 0.05, standbys=standbys, ledger_streams=1)
    # One claim an entry: the slowest case for a reader.
    fleet.streams["ledger-0"] = [
        LogEntry(i, EPOCH_S, (ClaimRecord(f"c{i}", make_key(i), b"f", EPOCH_S),))
        for i in range(claims)
    ]
    fleet.run(claims / 100 * 0.06 + WARM_S)
    fleet.load(20, 30.0, SEED)
    fleet.run(5.0)
    fleet.kill(fleet.find_writer("ledger-0"))
    fleet.run(40.0)
    asked = [i for i, name in fleet.holders.items() if name in fleet.names]
    won = [i for i in asked if i in fleet.decided]
    latency = [fleet.decided[i] - fleet.asked[i] for i in won]
    return len(won) / len(asked), pick(latency, 0.5), pick(latency, 0.95), max(latency)


def show_failover():
    """Print what the death of a stream's writer costs, with and without a standby."""
    print("claims held  standbys  won %  p50 ms  p95 ms  longest ms")
    for claims in (1_000, 20_000):
        for standbys in (0, 1):
            won, p50, p95, longest = measure_failover(standbys, claims)
            print(
                f"{claims:11d}  {standbys:8d}  {won * 100:5.1f}  {p50 * 1e3:6.0f}"
                f"  {p95 * 1e3:6.0f}  {longest * 1e3:10.0f}",
                flush=True,
            )


SUBJECTS = {
    "rate": show_rate,
    "fleet": show_fleet,
    "rebuild": show_rebuild,
    "relay": show_relay,
    "failover": show_failover,
}


def main():
    """Run the subjects named on the command line, or all."""
    for name in sys.argv[1:] or SUBJECTS:
        print(f"== {name}")
        SUBJECTS[name]()


if __name__ == "__main__":
    main()
