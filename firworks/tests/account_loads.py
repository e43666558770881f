"""Accounts that always want more of the real schedulers, with virtual time."""

import heapq
from itertools import count

from firworks.kernel.forwarding.configuration import EngineSpec, StagePoolSpec
from firworks.kernel.pools.accounts import HALF_LIFE_S, AccountShares
from firworks.kernel.pools.engines import EngineScheduler, Placed
from firworks.kernel.pools.results import FreeResults, JobDone
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall
from firworks.tests.test_pools import (
    make_engine_job,
    make_job,
    make_results,
    make_targets,
)

STAGES = StagePoolSpec(1, 2, 8, 0.2, 0.02, 16_000_000, 4.0)
ENGINES = EngineSpec(3, 10_000_000, 0)
# Jobs that wait for each account at any time; over a full call of the smallest.
BACKLOG = 10
# Floating-point sums in another order differ by less.
TOLERANCE = 1e-6
FAR_S = 1e6


class Usage:
    """Costs of accounts by weight, decayed; computed apart from the product."""

    def __init__(self):
        self._totals = {}

    def add(self, account, weight, cost, now):
        """Add a cost."""
        # Costs grow with time instead of those before being decayed.
        grown = cost / weight * 2.0 ** (now / HALF_LIFE_S)
        self._totals[account] = self._totals.get(account, 0.0) + grown

    def compute_level(self, account, now):
        """Return the level of an account."""
        return self._totals.get(account, 0.0) / 2.0 ** (now / HALF_LIFE_S)


def find_violations(started, waiting, usage, now):
    """Return cases of work that started above its share while others below waited.

    Args:
        started (list of (job, float, int)): Jobs in the order in which they started,
            with the cost of each and the most pieces that a job in its place could
            have had.
        waiting (list of job): All jobs that waited before, these included.
        usage (Usage): What the accounts had got before.
        now (float): Monotonic seconds.
    """
    weights = {job.account: job.weight for job in waiting}
    levels = {account: usage.compute_level(account, now) for account in weights}
    total = sum(weights.values())
    mean = sum(levels[account] * weights[account] for account in weights) / total
    final = dict(levels)
    for job, cost, _ in started:
        final[job.account] += cost / job.weight
    ids = {job.job_id for job, _, _ in started}
    below = [
        job
        for job in waiting
        if job.job_id not in ids and final[job.account] < mean - TOLERANCE
    ]
    found = []
    for job, cost, room in started:
        passed_over = {
            one.account
            for one in below
            if one.account != job.account and getattr(one, "count", 1) <= room
        }
        if levels[job.account] > mean + TOLERANCE and passed_over:
            found.append((now, job.job_id, sorted(passed_over), mean, dict(levels)))
        levels[job.account] += cost / job.weight
    return found


class WatchedStages(StageScheduler):
    """Checks each call against the shares.

    Attributes:
        usage (Usage): What the accounts got.
        violations (list): Jobs that were started against the bound.
        checked (int): Calls that were checked.
    """

    def __init__(self, shares):
        super().__init__(STAGES, shares=shares)
        self.usage = Usage()
        self.violations = []
        self.checked = 0

    def _make_call(self, worker, pieces, now):
        waiting = [state.job for state in self._jobs.values() if state.waiting]
        jobs = {piece.job.job_id: piece.job for piece in pieces}
        piece_s = self.get_nominal_s(self.spec.batch) / self.spec.batch
        room, started = self.spec.batch, []
        for job in jobs.values():
            started.append((job, job.count * piece_s, room))
            room -= job.count
        self.violations += find_violations(started, waiting, self.usage, now)
        self.checked += 1
        cost = self.get_nominal_s(len(pieces)) / len(pieces)
        for piece in pieces:
            self.usage.add(piece.job.account, piece.job.weight, cost, now)
        return super()._make_call(worker, pieces, now)


class WatchedEngines(EngineScheduler):
    """Checks each plan against the shares.

    Attributes:
        usage (Usage): What the accounts got.
        violations (list): Requests that were placed against the bound.
        checked (int): Plans with placements that were checked.
    """

    def __init__(self, shares):
        super().__init__(ENGINES, shares=shares)
        self.usage = Usage()
        self.violations = []
        self.checked = 0

    def plan(self, now):
        waiting = list(self._waiting.values())
        actions = super().plan(now)
        started = [
            (one.job, one.job.tokens_in + one.job.tokens_out, 1) for one in actions
        ]
        if started:
            self.violations += find_violations(started, waiting, self.usage, now)
            self.checked += 1
        for job, cost, _ in started:
            self.usage.add(job.account, job.weight, cost, now)
        return actions


class Play:
    """Keeps work of some accounts waiting at a scheduler.

    Args:
        claimants (list of dict): Of each account its weight, the size of its jobs
            (``count``), the seconds until its jobs are late (``urgency``) and when it
            begins (``begin_s``).
        targets (int): Number of targets.
        watched (callable): ``watched(shares)`` builds the scheduler.
        shares (AccountShares or UnsharedCapacity): Shares of the accounts.

    Attributes:
        served (dict of str to float): Cost of the work of each account that was done
            since all accounts had begun.
    """

    SERVICE = ""

    def __init__(self, claimants, targets, watched, shares=None):
        self.claimants = {f"account-{i}": one for i, one in enumerate(claimants)}
        self.scheduler = watched(shares or AccountShares())
        self.served = dict.fromkeys(self.claimants, 0.0)
        self._targets = make_targets(targets, self.SERVICE)
        self._waiting = dict.fromkeys(self.claimants, 0)
        self._count_from_s = max(one["begin_s"] for one in claimants)
        self._events = []
        self._numbers = count()
        self._now = 0.0

    def run(self, length_s):
        """Let all accounts want more for some seconds."""
        self._execute(self.scheduler.set_targets(self._targets, 0.0))
        for account, claimant in self.claimants.items():
            self._at(claimant["begin_s"], lambda account=account: self._fill(account))
        while self._events and self._events[0][0] <= length_s:
            self._now, _, function = heapq.heappop(self._events)
            function()
            for account, claimant in self.claimants.items():
                if claimant["begin_s"] <= self._now:
                    self._fill(account)
            due_s = self.scheduler.next_due_s(self._now)
            if due_s is not None and due_s < FAR_S:
                self._at(max(due_s, self._now + 1e-3), self._plan)

    def get_shares(self):
        """Return the share of each account in what was done (dict of str to float)."""
        total = sum(one["weight"] for one in self.claimants.values())
        done = sum(self.served.values())
        return {
            account: done * one["weight"] / total
            for account, one in self.claimants.items()
        }

    def get_largest_cost(self, account):
        """Return the cost of a job of an account."""
        raise NotImplementedError

    def _at(self, time_s, function):
        heapq.heappush(self._events, (time_s, next(self._numbers), function))

    def _plan(self):
        self._execute(self.scheduler.plan(self._now))

    def _fill(self, account):
        while self._waiting[account] < BACKLOG:
            self._waiting[account] += 1
            number = next(self._numbers)
            job = self._make(account, f"{number:06}", self.claimants[account])
            self._execute(self.scheduler.submit(job, self._now))

    def _serve(self, account, cost):
        if self._now >= self._count_from_s:
            self.served[account] += cost


class StagePlay(Play):
    """Keeps jobs of some accounts waiting at a stage pool."""

    SERVICE = "repair"

    def get_largest_cost(self, account):
        """Return the seconds of calls of a job, if it shares no call."""
        return STAGES.estimate_call_s(self.claimants[account]["count"])

    def _make(self, account, name, claimant):
        # Less than none: some accounts' jobs are late on arrival.
        soft_deadline_s = self._now + claimant["urgency"]
        return make_job(
            name,
            claimant["count"],
            soft_deadline_s,
            FAR_S,
            result_bytes=0,
            account=account,
            weight=claimant["weight"],
        )

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, StageCall):
                each = STAGES.estimate_call_s(len(action.pieces)) / len(action.pieces)
                for piece in action.pieces:
                    self._serve(piece.job.account, each)
                for job in {piece.job.job_id: piece.job for piece in action.pieces}:
                    self._started(job, action.pieces)
                self._at(action.due_s, lambda call=action: self._end(call))
            else:
                assert isinstance(action, JobDone | FreeResults), action

    def _started(self, job_id, pieces):
        account = next(one.job.account for one in pieces if one.job.job_id == job_id)
        self._waiting[account] -= 1

    def _end(self, call):
        results = make_results(call)
        self._execute(self.scheduler.complete_call(call.call_id, results, self._now))
        for job_id in {piece.job.job_id for piece in call.pieces}:
            self._execute(self.scheduler.cancel(job_id, self._now))


class EnginePlay(Play):
    """Keeps requests of some accounts waiting at an engine pool."""

    SERVICE = "engine"

    def get_largest_cost(self, account):
        """Return the tokens of a request."""
        return self._make(account, "", self.claimants[account]).tokens_in + 100

    def _make(self, account, name, claimant):
        return make_engine_job(
            name,
            tokens_in=300 * claimant["count"],
            priority=int(claimant["urgency"]) // 25,
            first_byte_deadline_s=FAR_S + claimant["urgency"],
            deadline_s=FAR_S,
            account=account,
            weight=claimant["weight"],
        )

    def _execute(self, actions):
        for action in actions:
            assert isinstance(action, Placed), action
            job = action.job
            self._waiting[job.account] -= 1
            self._serve(job.account, job.tokens_in + job.tokens_out)
            end_s = self._now + job.tokens_in / 3000
            self._at(end_s, lambda job_id=job.job_id: self._end(job_id))

    def _end(self, job_id):
        self._execute(self.scheduler.end(job_id, False, self._now))
