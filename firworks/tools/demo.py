"""Demonstration: runs a small site on loopback and verifies its results."""

import asyncio
import random
import time
from importlib.resources import files

from firworks.burn_report import merge_snapshots
from firworks.codes import Code
from firworks.document import parse_document
from firworks.errors import FirworksError
from firworks.publication import promote, publish
from firworks.standins.caller import Caller, make_key
from firworks.standins.site import Site
from firworks.tools.burn import format_report

EXAMPLE = "zwolle.toml"
TOKEN = "zwolle-club-secretaries"
TIMEOUT_S = 60.0


class DemonstrationError(FirworksError):
    """The demonstration gave an unexpected result."""

    code = Code.INTERNAL


def run_demo(write=print):
    """Run the demonstration.

    Args:
        write (callable): ``write(line)`` is called for each line of output.

    Raises:
        DemonstrationError: When a result is not as expected.
    """
    asyncio.run(_run_in_time(write))


async def _run_in_time(write):
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await _run(write)
    except TimeoutError as error:
        problem = f"not finished within {TIMEOUT_S} s"
        raise DemonstrationError(problem) from error


async def _run(write):
    data = _read_example()
    site = Site(parse_document(data, EXAMPLE))
    await site.start()
    try:
        await _publish(site, data, write)
        await _show_pipeline(site, write)
        await _show_loan(site, write)
        _show_burn(site, write)
    finally:
        await site.stop()


def _read_example():
    return files("firworks.examples").joinpath(EXAMPLE).read_bytes()


async def _publish(site, data, write):
    log = site.open_log()
    tried = await publish(log, "trial", data)
    write(f"published in trial: version {tried.offset}, digest {tried.digest[:12]}")
    promoted = await promote(log)
    _verify(promoted.digest == tried.digest, "production has another document")
    write(f"promoted to production: version {promoted.offset}, the same digest")
    for name in ("entry-1", "entry-2"):
        await site.start_daemon(name)
    await site.wait_ready(promoted.digest)
    write("two daemons are ready")


async def _show_pipeline(site, write):
    question = {"prompt": "Which clocks are free for Saturday's round?"}
    async with _open_caller(site, 0) as caller:
        reply = await caller.stream("answer-question", question)
    _verify(reply.code == Code.OK, f"the question got {reply.table}")
    _verify(reply.whole, "the streamed response is incomplete")
    write(f"four-stage response, {len(reply.tokens)} tokens, complete: {reply.table}")
    write("  " + "".join(reply.tokens[:8]) + "...")


async def _show_loan(site, write):
    key = make_key(random.Random())
    loan = {"club": "Het Witte Paard", "clocks": 12}
    async with _open_caller(site, 0) as caller:
        first = await caller.send("register-loan", loan, Idempotency_Key=key)
    _verify(first.code == Code.OK, f"the loan got {first.table}")
    write(f"loan: {first.table}")
    async with _open_caller(site, 1) as caller:
        again = await caller.send("register-loan", loan, Idempotency_Key=key)
    write(f"the same loan, resent through the other daemon: {again.table}")
    _verify(again.code == Code.REPLAYED, "the resend was not recognised as one")
    same = again.table["answer"] == first.table["answer"]
    _verify(same, "the resend got another response")
    runs = sum(len(site.targets[name].runs) for name in _loan_targets(site))
    _verify(runs == 1, f"the loan ran {runs} times")
    write("the loan ran once")


def _show_burn(site, write):
    snapshots = [daemon.burn.take_snapshot(time.time()) for daemon in site.daemons]
    for line in format_report(merge_snapshots(snapshots, [])):
        write(line)


def _open_caller(site, index):
    return Caller(f"127.0.0.1:{site.daemons[index].caller_port}", TOKEN)


def _loan_targets(site):
    return site.document.pools["loans"].targets


def _verify(condition, problem):
    if not condition:
        raise DemonstrationError(problem)


if __name__ == "__main__":
    run_demo()
