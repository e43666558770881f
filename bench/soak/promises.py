"""Checks the promises of docs/PROMISES.md from what callers and targets saw."""

from bench.soak.callers import DEADLINE_S, STREAMS, is_targets
from bench.soak.gateways import KILLED, PAUSED, TERMINATED
from bench.soak.site import LEAVE_LIMIT_S, OTHER_ACCOUNT, OTHER_KEY
from firworks.tests.gateway_testbed import KEY

# The platform counts a daemon as in touch this long after a trouble.
STABLE_S = 3.0
# A configuration is in force this long after the store took it.
APPLY_S = 2.0
# A busy machine may be late by this.
SLACK_S = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
STORE_KINDS = ("store", "way to store")
TARGET_KINDS = ("target", "way to target")
ACCOUNTS = {KEY: "club", OTHER_KEY: OTHER_ACCOUNT, None: None}


def check_promises(attempts, runs, plan, gateways, site):
    """Return what was broken, as a list of texts.

    Args:
        attempts (list of Attempt): What callers saw.
        runs (list of Run): What targets ran, calls of stage pools left out.
        plan (FaultPlan): What was harmed.
        gateways (dict of str to GatewayProcess): The gateways.
        site (Site): What left, and when keys and routes came and went.
    """
    runs_by_id = {}
    for run in runs:
        runs_by_id.setdefault(run.request_id, []).append(run)
    broken = []
    for gateway in gateways.values():
        broken += gateway.violations
    by_id = {attempt.request_id: attempt for attempt in attempts}
    for attempt in attempts:
        own = runs_by_id.get(attempt.request_id, ())
        gateway = gateways[attempt.gateway]
        broken += check_answer(attempt)
        broken += check_version(attempt)
        broken += check_runs(attempt, own)
        broken += check_time(attempt, gateway)
        broken += check_loss(attempt, own, gateway, plan)
        broken += check_allowed(attempt, own, gateway, plan, site.changes)
    for run in runs:
        broken += check_asked(run, by_id.get(run.request_id))
        broken += check_leaving(run, site.left_s, plan)
    return broken


def check_answer(attempt):
    """A success is the whole answer of a target to this very request."""
    if attempt.status != 200 or not attempt.whole:
        return []
    own = is_targets(attempt) and attempt.echoed[0] == attempt.request_id
    whole = attempt.answer in attempt.kind.make_answers(attempt.line)
    return [] if own and whole else [f"{attempt.request_id}: not its whole answer"]


def check_version(attempt):
    """The events of a stream, over all its tries, are of one software version."""
    if attempt.status != 200 or attempt.kind.name != "rules":
        return []
    if any(stream.startswith(attempt.answer) for stream in STREAMS):
        return []
    return [f"{attempt.request_id}: joined from several versions: {attempt.answer!r}"]


def check_runs(attempt, runs):
    """What may not repeat runs once, and not at all if that was said."""
    if attempt.kind.repeatable:
        return []
    if len(runs) > 1:
        return [f"{attempt.request_id}: ran {len(runs)} times"]
    said = attempt.status in NOT_RUN_STATUSES and not is_targets(attempt)
    return (
        [f"{attempt.request_id}: {attempt.status}, but it ran"] if said and runs else []
    )


def check_time(attempt, gateway):
    """Every request has its final answer at its deadline."""
    took_s = attempt.ended_s - attempt.sent_s
    if took_s <= DEADLINE_S + SLACK_S:
        return []
    kinds = (KILLED, PAUSED, TERMINATED)
    if gateway.was_disturbed(attempt.sent_s - SLACK_S, attempt.ended_s, kinds):
        return []
    return [f"{attempt.request_id}: no answer after {took_s:.1f} s"]


def check_loss(attempt, runs, gateway, plan):
    """A gateway that only drains answers what it has passed on."""
    if not attempt.error or not runs or attempt.status is not None:
        return []
    begin_s, end_s = attempt.sent_s - STABLE_S, attempt.ended_s
    if gateway.was_disturbed(begin_s, end_s, (KILLED, PAUSED)):
        return []
    if plan.was_harmed(begin_s, end_s, TARGET_KINDS):
        return []
    return [f"{attempt.request_id}: lost at {attempt.gateway} ({attempt.error})"]


def check_allowed(attempt, runs, gateway, plan, changes):
    """What no configuration in force allows is refused, what all allow is not."""
    since_s = attempt.sent_s - APPLY_S - SLACK_S
    in_force = find_allowed(attempt, changes, since_s)
    if in_force is None:
        return []
    begin_s, end_s = since_s - STABLE_S, attempt.ended_s
    if plan.was_harmed(begin_s, end_s, (*STORE_KINDS, PAUSED)):
        return []
    if gateway.was_disturbed(begin_s, end_s, (KILLED, TERMINATED, PAUSED)):
        return []
    if not in_force and runs:
        return [f"{attempt.request_id}: ran, though it was no longer allowed"]
    if in_force and attempt.status in (401, 404):
        return [f"{attempt.request_id}: {attempt.status}, though it was allowed"]
    return []


def find_allowed(attempt, changes, since_s):
    """Return whether an attempt was allowed from a time to its end, None if both.

    Args:
        attempt (Attempt): The attempt.
        changes (list of (float, bool, bool)): See `Site`.
        since_s (float): What was in force then counts too.
    """
    before = [change for change in changes if change[0] <= since_s]
    inside = [change for change in changes if since_s < change[0] <= attempt.ended_s]
    allowed = {
        (routed or attempt.kind.name != "open") and (keyed or attempt.key != OTHER_KEY)
        for _, routed, keyed in [*before[-1:], *inside]
    }
    return allowed.pop() if len(allowed) == 1 and before else None


def check_asked(run, attempt):
    """A target runs what a caller sent, for the account of its key."""
    if attempt is None:
        return [f"{run.request_id}: nobody sent {run.line}"]
    if not run.target_id.startswith(attempt.kind.service):
        return [f"{run.request_id}: {run.target_id} is of another service"]
    changed = run.line != f"{attempt.line} HTTP/1.1" or run.body != attempt.body
    if changed or run.account != ACCOUNTS[attempt.key]:
        return [f"{run.request_id}: {run.line} for {run.account} is not what was sent"]
    return []


def check_leaving(run, left_s, plan):
    """A target that has told that it leaves gets no new work after the limit."""
    begin_s = left_s.get(run.target_id)
    if begin_s is None or run.time_s <= begin_s + LEAVE_LIMIT_S + SLACK_S:
        return []
    kinds = (*STORE_KINDS, *TARGET_KINDS, PAUSED)
    if plan.was_harmed(begin_s - STABLE_S, run.time_s, kinds):
        return []
    late_s = run.time_s - begin_s
    return [f"{run.request_id}: {run.target_id} got it {late_s:.1f} s after it left"]
