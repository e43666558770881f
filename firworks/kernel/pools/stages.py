"""Schedules and batches the pieces of a stage pool.

Load pattern: the fixed cost of a call far exceeds the cost of a piece, and each daemon
sees only one or two requests a second. One scheduler therefore forms the batches of all
daemons. A batch is closed as late as possible, when a target is about to become idle,
so that the most urgent pieces go first and late arrivals are still included. Jobs whose
request can no longer be answered in time are dropped before they start.

Load pattern: targets name a limit of requests per second. A target without a permit
gets no call; if all are limited, fewer and larger calls are made, and the wait for them
is part of the estimates.
"""

from functools import partial

from firworks.kernel.pools.accounts import UnsharedCapacity
from firworks.kernel.pools.batches import MAX_ATTEMPTS, choose_pieces
from firworks.kernel.pools.fetches import list_fetch_times, report_fetched
from firworks.kernel.pools.freeing_memory import FreeingMemory
from firworks.kernel.pools.ordering import rank_job
from firworks.kernel.pools.result_locality import sort_by_home
from firworks.kernel.pools.results import (
    REASON_ERROR,
    REASON_GONE,
    REASON_LATE,
    REASON_ROOM,
    REASON_SUSPENDED,
    FreeResults,
    JobDone,
    JobRefused,
)
from firworks.kernel.pools.retained_results import JobState, RetainedResults
from firworks.kernel.pools.worker_limits import WorkerLimits
from firworks.kernel.pools.workers import (
    OVERDUE_FACTOR,
    OVERDUE_MARGIN_S,
    StageCall,
    StageWorker,
)
from firworks.kernel.target_limits.unlimited import UnlimitedTargets

# Time from sending a call to its start at the target: network latency and wake-ups.
DISPATCH_LEAD_S = 0.008
# Minimum interval between calls with less than a full batch, as a multiple of a call's
# fixed time over the number of targets. Calls that start together also end together,
# and all jobs that arrive in the meantime would have to wait for them.
SPACING = 1.3
# Interval at which queued jobs are checked for those that cannot finish in time.
REVIEW_PERIOD_S = 0.1
# Back-off after a target was full, and retry delay of jobs that failed.
FULL_TARGET_BACKOFF_S = 0.1


class StageScheduler:
    """Forms the calls of one pool from the jobs of many daemons.

    Methods that change the state return a list of the actions to carry out:
    `StageCall`, `JobDone`, `JobRefused`, `InputsRead` and `FreeResults`.

    Args:
        spec (StagePoolSpec): Capacity of each target.
        limits (TargetLimiter): Permits for targets that name a limit.
        shares (AccountShares): Shares of client accounts in the time of calls.

    Attributes:
        shares (AccountShares or UnsharedCapacity): Shares of client accounts.
        freeing (FreeingMemory): Whether memory that is being freed counts as free.
        prefers_home (bool): Large results are made near the engines that read them.
    """

    def __init__(self, spec, limits=None, shares=None):
        self.shares = shares or UnsharedCapacity()
        self.freeing = FreeingMemory()
        self.prefers_home = False
        self._limits = WorkerLimits(limits or UnlimitedTargets())
        self._results = RetainedResults(spec)
        self._workers = {}
        self._usable = set()
        self._jobs = {}
        self._next_call = 0
        self._last_call_s = float("-inf")
        self._reviewed_s = float("-inf")
        self._planned_s = float("inf")

    @property
    def spec(self):
        """Capacity of each target (StagePoolSpec)."""
        return self._results.spec

    @spec.setter
    def spec(self, spec):
        self._results.spec = spec

    @property
    def queued_pieces(self):
        """Number of pieces queued for a call."""
        return sum(len(state.waiting) for state in self._jobs.values())

    @property
    def targets(self):
        """The usable targets (list of Target)."""
        return [self._workers[incarnation].target for incarnation in self._usable]

    @property
    def busy(self):
        """Whether any job is not finished."""
        return bool(self._jobs)

    def set_targets(self, targets, now):
        """Set the usable targets of the pool (iterable of Target)."""
        by_incarnation = {target.incarnation: target for target in targets}
        stale = [
            incarnation
            for incarnation in self._workers
            if incarnation not in by_incarnation
        ]
        for incarnation in stale:
            worker = self._workers[incarnation]
            if not worker.calls:
                del self._workers[incarnation]
        for incarnation, target in by_incarnation.items():
            worker = self._workers.get(incarnation)
            if worker is None:
                self._workers[incarnation] = StageWorker(target)
            else:
                worker.target = target
        self._usable = set(by_incarnation)
        return self.plan(now)

    def submit(self, job, now):
        """Queue a job, or refuse it if it cannot finish in time."""
        wait_s = self.estimate_wait(job, now)
        if now + wait_s + job.downstream_s > job.deadline_s:
            return [JobRefused(job, *self._explain_late(wait_s, now))]
        self._jobs[job.job_id] = JobState(job)
        return self.plan(now)

    def adopt(self, job, addresses, read, now):
        """Take over a job that another scheduler has finished.

        Args:
            job (PieceJob): The job.
            addresses (dict of str to str): "ip:port" of the target that holds each
                result, by handle.
            read (bool): The results were read and may be evicted to free memory.
            now (float): Monotonic seconds.
        """
        workers = {one.target.address: one for one in self._workers.values()}
        state = JobState(job)
        state.waiting = []
        state.handles = list(addresses)
        for handle, address in addresses.items():
            if address in workers:
                state.made_by[handle] = workers[address]
                workers[address].held_bytes += job.result_bytes
        self._results.add(state, now)
        return self.mark_read(job.job_id, now) if read else []

    def cancel(self, job_id, now):
        """Drop a job whose request has ended, and free its results."""
        state = self._jobs.pop(job_id, None)
        if state is None:
            return self.release(job_id, now)
        return self._free_results(state)

    def resend_outcome(self, job_id):
        """Return the actions that report a job again, or None if it is unknown."""
        if job_id in self._jobs:
            return []
        state = self._results.find(job_id)
        return None if state is None else [JobDone(state.job, tuple(state.handles))]

    def release(self, job_id, now):
        """Free the results of a finished job."""
        state = self._results.pop(job_id)
        return [] if state is None else self._free_results(state) + self.plan(now)

    def mark_read(self, job_id, now):
        """Mark a job's results as read; they may now be evicted to free memory."""
        self._results.mark_read(job_id)
        return self.plan(now)

    def note_freed(self, freed, now):
        """Record that the results of a `FreeResults` were freed, or have expired."""
        worker = self._workers.get(freed.target.incarnation)
        if worker is None:
            return []
        worker.held_bytes -= freed.size_bytes
        worker.freeing_bytes -= freed.size_bytes
        return self.plan(now)

    def complete_call(self, call_id, results, now):
        """Apply the results of a call: a (handle or None, reason) for each piece."""
        worker, call = self._end_call(call_id, now)
        if call is None:
            return []
        completed = sum(handle is not None for handle, _ in results)
        memory_full = any(reason == REASON_ROOM for _, reason in results)
        if completed:
            worker.note_answer(call, self.get_nominal_s(completed), now)
        elif memory_full:
            worker.pause_until(now + FULL_TARGET_BACKOFF_S)
        actions = []
        for piece, (handle, reason) in zip(call.pieces, results, strict=True):
            actions += self._apply_piece_result(worker, piece, handle, reason, now)
        if memory_full:
            worker.note_memory_full(self.spec, now)
            self.freeing.note_memory_full(self.spec, now)
        return actions + self.plan(now)

    def note_load(self, incarnation, slowdown, now):
        """Record how long calls take by a target's own account, relative to the usual.

        Args:
            incarnation (tuple): The target's.
            slowdown (float): 1 is the usual duration.
            now (float): Monotonic seconds.
        """
        worker = self._workers.get(incarnation)
        if worker is not None:
            worker.reported.note(slowdown, now)

    def pause_target(self, incarnation, until_s):
        """Send no calls to an incarnation of a target before a time."""
        worker = self._workers.get(incarnation)
        if worker is not None:
            worker.pause_until(until_s)

    def reject_call(self, call_id, now):
        """Requeue the pieces of a call that a full target rejected without running."""
        worker, call = self._end_call(call_id, now)
        if call is None:
            return []
        worker.pause_until(max(now + FULL_TARGET_BACKOFF_S, worker.idle_from_s))
        call_s = self.get_nominal_s(len(call.pieces))
        self.shares.charge_call(call.pieces, -call_s, now)
        self._requeue(call.pieces, count_attempt=False)
        return self.plan(now)

    def fail_call(self, call_id, now, is_suspended=lambda fingerprint: False):
        """Requeue the pieces of a call that was aborted or timed out.

        Args:
            call_id (int): The call.
            now (float): Monotonic seconds.
            is_suspended (callable): ``is_suspended(fingerprint)`` returns whether a
                request has crashed several targets; its pieces are not sent again.
        """
        worker, call = self._end_call(call_id, now)
        if call is None:
            return []
        worker.note_failure(now)
        actions = []
        for job_id in {piece.job.job_id for piece in call.pieces}:
            state = self._jobs.get(job_id)
            if state is not None and is_suspended(state.job.fingerprint):
                actions += self._refuse(state, REASON_SUSPENDED, 0.0)
        actions += self._requeue(call.pieces, count_attempt=True)
        return actions + self.plan(now)

    def estimate_wait(self, job, now):
        """Return the expected seconds until a job that arrives now would be done.

        Args:
            job (PieceJob): The job.
            now (float): Monotonic seconds.
        """
        workers = self._list_usable(now)
        if not workers:
            return self._compute_min_pause_s(now) + self.get_nominal_s(job.count)
        ahead = job.count + self._count_ahead(job, now)
        return self._limits.estimate_completion_s(self.spec, workers, ahead, now)

    def plan(self, now):
        """Return all actions that are due: calls, refusals and results to free."""
        self._planned_s = now
        self._drop_expired_results(now)
        actions = [*self._refuse_expired(now), *self._refuse_infeasible(now)]
        actions += report_fetched(self._workers.values(), self._jobs, now)
        while call := self._plan_call(now):
            actions.append(call)
        for state in self._results.take_surplus(self._estimate_waiting_bytes()):
            actions += self._free_results(state)
        return actions

    def next_due_s(self, now):
        """Return when `plan` should be called again, in monotonic seconds, or None.

        Times that have passed since the last call of `plan` are due at once.
        """
        now = min(now, self._planned_s)
        fetch_times_s = list_fetch_times(self._workers.values())
        if not any(state.waiting for state in self._jobs.values()):
            return min(fetch_times_s, default=None)
        times = [
            max(
                worker.paused_until_s,
                worker.idle_from_s - DISPATCH_LEAD_S,
                now + self._limits.get_wait_s(worker, now),
            )
            for incarnation, worker in self._workers.items()
            if incarnation in self._usable
        ]
        times = [max(time_s, self._next_partial_call_s()) for time_s in times]
        times += [
            self._latest_start_s(state.job)
            for state in self._jobs.values()
            if state.waiting
        ]
        later = [time_s for time_s in times if now < time_s < float("inf")]
        return min([*later, *fetch_times_s], default=None)

    def _estimate_waiting_bytes(self):
        """Return the bytes of results of a full call of the largest queued pieces."""
        jobs = self._jobs.values()
        sizes = [one.job.result_bytes for one in jobs for _ in one.waiting]
        return sum(sorted(sizes, reverse=True)[: self.spec.batch])

    def get_nominal_s(self, count):
        """Return the seconds of a call for some pieces at a target of nominal speed."""
        return self.spec.estimate_call_s(count)

    def _list_usable(self, now):
        return [
            worker
            for incarnation, worker in self._workers.items()
            if incarnation in self._usable and worker.paused_until_s <= now
        ]

    def _compute_min_pause_s(self, now):
        """Return the seconds until the first target accepts calls again."""
        pauses_s = [
            self._workers[incarnation].paused_until_s - now
            for incarnation in self._usable
        ]
        return max(0.0, min(pauses_s, default=0.0))

    def _rank(self, job, now):
        return rank_job(job, self.get_nominal_s(job.count), now)

    def _count_ahead(self, job, now):
        """Return how many queued pieces go before those of a job that arrives now."""
        if self.shares.active:
            own = JobState(job)
            order = self._list_waiting(now, own)
            return sum(len(one.waiting) for one in order[: order.index(own)])
        own = self._rank(job, now)
        return sum(
            len(state.waiting)
            for state in self._jobs.values()
            if self._rank(state.job, now) <= own
        )

    def _list_waiting(self, now, *arriving):
        """Return the jobs (list of JobState) with queued pieces, the next first."""
        states = (*self._jobs.values(), *arriving)
        waiting = [state for state in states if state.waiting]
        waiting.sort(key=lambda state: self._rank(state.job, now))
        piece_s = self.get_nominal_s(self.spec.batch) / self.spec.batch
        return self.shares.order(waiting, partial(_describe_demand, piece_s), now)

    def _plan_call(self, now):
        """Return one `StageCall` to send now, or None."""
        if now < self._next_partial_call_s() and self.queued_pieces < self.spec.batch:
            return None
        for worker in self._list_ready(now):
            pieces = self._choose_pieces(worker, now)
            if pieces:
                return self._make_call(worker, pieces, now)
        return None

    def _next_partial_call_s(self):
        """Return from when a call with less than a full batch may be sent."""
        count = max(1, len(self._usable))
        return self._last_call_s + SPACING * self.spec.call_s / count

    def _list_ready(self, now):
        """Return the targets that a call may be sent to now, earliest to answer first.

        Slow targets are left out if waiting for a faster one takes less time. Those
        that accept no request now are no alternative.
        """
        nominal_s = self.get_nominal_s(self.spec.batch // 2)
        ends = {
            worker: worker.predict(nominal_s, now)
            for worker in self._list_usable(now)
            if self._limits.get_wait_s(worker, now) == 0.0
        }
        if not ends:
            return []
        latest_s = min(ends.values()) + nominal_s
        ready = [
            worker
            for worker in ends
            if worker.is_ready(self.spec.slots, DISPATCH_LEAD_S, now)
            and ends[worker] <= latest_s
        ]
        ready.sort(key=lambda worker: (ends[worker], worker.target.target_id))
        if self.prefers_home:
            return sort_by_home(ready, ends, self._jobs.values())
        return ready

    def _choose_pieces(self, worker, now):
        waiting, usable = self._list_waiting(now), self._list_usable(now)
        extra_bytes = self.freeing.get_bytes(worker, now)
        return choose_pieces(self.spec, waiting, worker, usable, now, extra_bytes)

    def _make_call(self, worker, pieces, now):
        for piece in pieces:
            self._jobs[piece.job.job_id].waiting.remove(piece)
            worker.held_bytes += piece.job.result_bytes
        self._limits.take(worker, now)
        self._next_call += 1
        self._last_call_s = now
        nominal_s = self.get_nominal_s(len(pieces))
        self.shares.charge_call(pieces, nominal_s, now)
        due_s = worker.predict(nominal_s, now)
        begun_s = max(now, worker.idle_from_s)
        allowed_s = nominal_s * max(1.0, worker.slowdown) * OVERDUE_FACTOR
        overdue_s = begun_s + allowed_s + OVERDUE_MARGIN_S
        call = StageCall(self._next_call, worker.target, pieces, now, due_s, overdue_s)
        worker.add(call)
        return call

    def _end_call(self, call_id, now):
        for worker in self._workers.values():
            call = worker.remove(call_id, now)
            if call is not None:
                for piece in call.pieces:
                    worker.held_bytes -= piece.job.result_bytes
                return worker, call
        return None, None

    def _apply_piece_result(self, worker, piece, handle, reason, now):
        job = piece.job
        state = self._jobs.get(job.job_id)
        if state is None:
            if handle is None:
                return []
            worker.held_bytes += job.result_bytes
            return self._free_handles(worker, job, [handle])
        if handle is None:
            return self._apply_piece_failure(piece, reason)
        state.handles[piece.number] = handle
        state.made_by[handle] = worker
        worker.held_bytes += job.result_bytes
        if None in state.handles:
            return []
        del self._jobs[job.job_id]
        self._results.add(state, now)
        return [JobDone(job, tuple(state.handles))]

    def _apply_piece_failure(self, piece, reason):
        if reason in (REASON_LATE, REASON_GONE):
            return self._refuse(self._jobs[piece.job.job_id], reason, 0.0)
        return self._requeue([piece], count_attempt=reason != REASON_ROOM)

    def _requeue(self, pieces, count_attempt):
        actions = []
        for piece in pieces:
            state = self._jobs.get(piece.job.job_id)
            if state is None:
                continue
            piece.failed_attempts += count_attempt
            if piece.failed_attempts < MAX_ATTEMPTS:
                state.waiting.append(piece)
                continue
            actions += self._refuse(state, REASON_ERROR, FULL_TARGET_BACKOFF_S)
        return actions

    def _free_results(self, state):
        """Free all results of a job; they occupy memory until that is confirmed."""
        by_worker = {}
        for handle, worker in state.made_by.items():
            by_worker.setdefault(worker, []).append(handle)
        actions = []
        for worker, handles in by_worker.items():
            actions += self._free_handles(worker, state.job, handles)
        return actions

    def _free_handles(self, worker, job, handles):
        size = job.result_bytes * len(handles)
        worker.freeing_bytes += size
        return [FreeResults(worker.target, tuple(handles), size)]

    def _latest_start_s(self, job):
        """Return the latest time at which a job can start and still be of use."""
        return job.deadline_s - job.downstream_s - self.get_nominal_s(1)

    def _drop_expired_results(self, now):
        """Remove results that have expired at their targets."""
        for state in self._results.pop_expired(now):
            for worker in state.made_by.values():
                worker.held_bytes -= state.job.result_bytes

    def _refuse_infeasible(self, now):
        """Refuse late jobs that are not expected to finish before their deadline.

        Their requests would otherwise wait for the deadline in vain.
        """
        if now < self._reviewed_s + REVIEW_PERIOD_S:
            return []
        self._reviewed_s = now
        workers = self._list_usable(now)
        if not workers:
            return []
        actions, ahead = [], 0
        for state in self._list_waiting(now):
            job = state.job
            pieces = ahead + len(state.waiting)
            wait_s = self._limits.estimate_completion_s(self.spec, workers, pieces, now)
            late = self._rank(job, now)[0] or self._limits.are_limited(workers)
            if late and now + wait_s + job.downstream_s > job.deadline_s:
                actions += self._refuse(state, *self._explain_late(wait_s, now))
            else:
                ahead += len(state.waiting)
        return actions

    def _explain_late(self, wait_s, now):
        """Return reason and Retry-After (tuple) of a job that would take too long."""
        usable = [self._workers[incarnation] for incarnation in self._usable]
        return self._limits.explain_late(usable, wait_s, now)

    def _refuse_expired(self, now):
        """Refuse the jobs whose pieces would be done too late if started now."""
        expired = [
            state
            for state in self._jobs.values()
            if state.waiting and now >= self._latest_start_s(state.job)
        ]
        actions = []
        for state in expired:
            actions += self._refuse(state, REASON_LATE, 1.0)
        return actions

    def _refuse(self, state, reason, retry_after_s):
        del self._jobs[state.job.job_id]
        return [
            *self._free_results(state),
            JobRefused(state.job, reason, retry_after_s),
        ]


def _describe_demand(piece_s, state):
    """Return account, weight and seconds of calls (tuple) of a job's queued pieces."""
    job = state.job
    return job.account, job.weight, piece_s * len(state.waiting)
