"""Schedules the pieces of a stage pool.

Load pattern: a call costs a fixed time whatever it carries, far more than a piece, and
each daemon sees only one or two requests a second. One scheduler therefore forms the
batches of all daemons. A batch is closed as late as possible, when a target is about
to become free, so that the most urgent pieces go first and late arrivals still ride
along. Work whose request can no longer be answered is dropped and not begun.
"""

from firworks.kernel.pools.batches import MAX_ATTEMPTS, choose_pieces
from firworks.kernel.pools.retained_results import RetainedResults, JobState
from firworks.kernel.pools.ordering import rank_job
from firworks.kernel.pools.results import (
    REASON_ERROR,
    REASON_GONE,
    REASON_LATE,
    REASON_ROOM,
    REASON_SUSPENDED,
    FreeResults,
    InputsRead,
    JobDone,
    JobRefused,
)
from firworks.kernel.pools.workers import (
    OVERDUE_FACTOR,
    OVERDUE_MARGIN_S,
    StageCall,
    StageWorker,
    estimate_completion_s,
)

# Time between sending a call and its begin at the target: the way there and wake-ups.
DISPATCH_LEAD_S = 0.008
# Calls that carry less than a batch begin at least this share of a call's fixed time,
# divided by the number of targets, after one another: begun together they would end
# together, and all that arrives meanwhile would wait for them.
SPACING = 1.3
# A target fetches the inputs of a call, some megabytes, when it begins it. They take up
# room at their makers until then.
FETCH_S = 0.08
# Jobs that wait are looked through this often for those that cannot be done any more.
REVIEW_PERIOD_S = 0.1
# A full target is asked again after this time at the latest.
FULL_TARGET_BACKOFF_S = 0.1


class StageScheduler:
    """Forms the calls of one pool from the jobs of many daemons.

    Methods that change something return a list of `StageCall`, `JobDone`,
    `JobRefused`, `InputsRead` and `FreeResults` to carry out.

    Args:
        spec (StagePoolSpec): What each target can do.
    """

    def __init__(self, spec):
        self._holdings = RetainedResults(spec)
        self._workers = {}
        self._usable = set()
        self._jobs = {}
        self._next_call = 0
        self._last_call_s = float("-inf")
        self._reviewed_s = float("-inf")
        self._planned_s = float("inf")

    @property
    def spec(self):
        """What each target can do (StagePoolSpec)."""
        return self._holdings.spec

    @spec.setter
    def spec(self, spec):
        self._holdings.spec = spec

    @property
    def queued_pieces(self):
        """How many pieces wait for a call."""
        return sum(len(state.waiting) for state in self._jobs.values())

    @property
    def busy(self):
        """Whether some job is not finished."""
        return bool(self._jobs)

    def set_targets(self, targets, now):
        """Take in the usable targets of the pool."""
        known = {target.incarnation: target for target in targets}
        gone = [run for run in self._workers if run not in known]
        for run in gone:
            worker = self._workers[run]
            if not worker.calls:
                del self._workers[run]
        for run, target in known.items():
            worker = self._workers.get(run)
            if worker is None:
                self._workers[run] = StageWorker(target)
            else:
                worker.target = target
        self._usable = set(known)
        return self.plan(now)

    def submit(self, job, now):
        """Take in a job."""
        wait_s = self.estimate_wait(job, now)
        if now + wait_s + job.downstream_s > job.deadline_s:
            return [JobRefused(job, REASON_LATE, max(0.1, wait_s))]
        self._jobs[job.job_id] = JobState(job)
        return self.plan(now)

    def adopt(self, job, addresses, read, now):
        """Take in a job that another scheduler has finished.

        Args:
            job (PieceJob): The job.
            addresses (dict of str to str): "ip:port" of the maker of each result.
            read (bool): The results may be given up when room is needed.
            now (float): Monotonic seconds.
        """
        makers = {one.target.address: one for one in self._workers.values()}
        state = JobState(job)
        state.waiting = []
        state.handles = list(addresses)
        for handle, address in addresses.items():
            if address in makers:
                state.made_by[handle] = makers[address]
                makers[address].held_bytes += job.result_bytes
        self._holdings.keep(state, now)
        return self.mark_read(job.job_id, now) if read else []

    def cancel(self, job_id, now):
        """Drop a job whose request has ended, and free what it made."""
        state = self._jobs.pop(job_id, None)
        if state is None:
            return self.release(job_id, now)
        return self._free(state)

    def repeat(self, job_id):
        """Return what there is to tell of a job again, or None if it is not known."""
        if job_id in self._jobs:
            return []
        state = self._holdings.find(job_id)
        return None if state is None else [JobDone(state.job, tuple(state.handles))]

    def release(self, job_id, now):
        """Free the results of a finished job."""
        state = self._holdings.take(job_id)
        return [] if state is None else self._free(state) + self.plan(now)

    def mark_read(self, job_id, now):
        """Take in that a job's results may be given up when room is needed."""
        self._holdings.mark_read(job_id)
        return self.plan(now)

    def note_freed(self, freed, now):
        """Take in that results were given up (FreeResults), or have expired."""
        worker = self._workers.get(freed.target.incarnation)
        if worker is None:
            return []
        worker.held_bytes -= freed.size_bytes
        worker.freeing_bytes -= freed.size_bytes
        return self.plan(now)

    def take_answer(self, call_id, results, now):
        """Take in a call's results: a (handle or None, reason) for each piece."""
        worker, call = self._end_call(call_id, now)
        if call is None:
            return []
        made = sum(handle is not None for handle, _ in results)
        no_room = any(reason == REASON_ROOM for _, reason in results)
        if made:
            worker.note_answer(call, self.get_nominal_s(made), now)
        elif no_room:
            worker.pause_until(now + FULL_TARGET_BACKOFF_S)
        actions = []
        for piece, (handle, reason) in zip(call.pieces, results, strict=True):
            actions += self._take_piece(worker, piece, handle, reason, now)
        if no_room:
            worker.note_memory_full(self.spec, now)
        return actions + self.plan(now)

    def pause_target(self, run, until_s):
        """Take in that a run wants no work until a time."""
        worker = self._workers.get(run)
        if worker is not None:
            worker.pause_until(until_s)

    def take_full(self, call_id, now):
        """Take in that a target had no room for a call and did not run it."""
        worker, call = self._end_call(call_id, now)
        if call is None:
            return []
        worker.pause_until(max(now + FULL_TARGET_BACKOFF_S, worker.free_s))
        self._requeue(call.pieces, count_try=False)
        return self.plan(now)

    def take_failure(self, call_id, now, is_suspended=lambda fingerprint: False):
        """Take in that a call broke off or was given up.

        Args:
            call_id (int): The call.
            now (float): Monotonic seconds.
            is_suspended (callable): ``is_suspended(fingerprint)`` returns whether a
                request has ended several targets; its pieces are not sent again.
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
        actions += self._requeue(call.pieces, count_try=True)
        return actions + self.plan(now)

    def estimate_wait(self, job, now):
        """Return the seconds until a job that arrives now would be made.

        Args:
            job (PieceJob): The job.
            now (float): Monotonic seconds.
        """
        workers = self._list_usable(now)
        if not workers:
            return self._compute_pause_s(now) + self.get_nominal_s(job.count)
        own = self._rank(job, now)
        ahead = job.count + sum(
            len(state.waiting)
            for state in self._jobs.values()
            if self._rank(state.job, now) <= own
        )
        return estimate_completion_s(self.spec, workers, ahead, now)

    def plan(self, now):
        """Return the calls to send now, and the jobs that are past saving."""
        self._planned_s = now
        self._drop_expired(now)
        actions = [*self._drop_lost(now), *self._drop_hopeless(now)]
        actions += self._list_read(now)
        while call := self._plan_call(now):
            actions.append(call)
        for state in self._holdings.take_surplus(self._sum_waiting()):
            actions += self._free(state)
        return actions

    def next_due_s(self, now):
        """Return when `plan` should be called again, or None.

        What became due since `plan` looked is due at once.
        """
        now = min(now, self._planned_s)
        reads = [
            call.begun_s + FETCH_S
            for call in self._list_unread()
            if call.begun_s is not None
        ]
        if not any(state.waiting for state in self._jobs.values()):
            return min(reads, default=None)
        times = [
            max(worker.paused_until_s, worker.free_s - DISPATCH_LEAD_S)
            for run, worker in self._workers.items()
            if run in self._usable
        ]
        times = [max(time_s, self._spaced_s()) for time_s in times]
        times += [
            self._begin_limit_s(state.job)
            for state in self._jobs.values()
            if state.waiting
        ]
        later = [time_s for time_s in times if time_s > now]
        return min([*later, *reads], default=None)

    def _sum_waiting(self):
        """Return the size of the results of a call of the largest pieces that wait."""
        jobs = self._jobs.values()
        sizes = [one.job.result_bytes for one in jobs for _ in one.waiting]
        return sum(sorted(sizes, reverse=True)[: self.spec.batch])

    def get_nominal_s(self, count):
        """Return the seconds of a call for some pieces at a target of usual speed."""
        return self.spec.estimate_call_s(count)

    def _list_usable(self, now):
        return [
            worker
            for run, worker in self._workers.items()
            if run in self._usable and worker.paused_until_s <= now
        ]

    def _compute_pause_s(self, now):
        """Return the seconds until the first target takes calls again."""
        pauses_s = [self._workers[run].paused_until_s - now for run in self._usable]
        return max(0.0, min(pauses_s, default=0.0))

    def _rank(self, job, now):
        return rank_job(job, self.get_nominal_s(job.count), now)

    def _list_waiting(self, now):
        """Return the jobs (list of JobState) with pieces that wait, the next first."""
        waiting = [state for state in self._jobs.values() if state.waiting]
        return sorted(waiting, key=lambda state: self._rank(state.job, now))

    def _plan_call(self, now):
        """Return one `StageCall` to send now, or None."""
        if now < self._spaced_s() and self.queued_pieces < self.spec.batch:
            return None
        for worker in self._list_ready(now):
            pieces = self._choose_pieces(worker, now)
            if pieces:
                return self._make_call(worker, pieces, now)
        return None

    def _spaced_s(self):
        """Return when a call that is not full may begin."""
        count = max(1, len(self._usable))
        return self._last_call_s + SPACING * self.spec.call_s / count

    def _list_ready(self, now):
        """Return the targets that a call may go to now, the soonest to answer first.

        A target that is so slow that waiting for another one takes less is left out.
        """
        nominal_s = self.get_nominal_s(self.spec.batch // 2)
        ends = {
            worker: worker.predict(nominal_s, now) for worker in self._list_usable(now)
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
        return sorted(ready, key=lambda worker: (ends[worker], worker.target.target_id))

    def _choose_pieces(self, worker, now):
        waiting, usable = self._list_waiting(now), self._list_usable(now)
        return choose_pieces(self.spec, waiting, worker, usable, now)

    def _make_call(self, worker, pieces, now):
        for piece in pieces:
            self._jobs[piece.job.job_id].waiting.remove(piece)
            worker.held_bytes += piece.job.result_bytes
        self._next_call += 1
        self._last_call_s = now
        nominal_s = self.get_nominal_s(len(pieces))
        due_s = worker.predict(nominal_s, now)
        begun_s = max(now, worker.free_s)
        allowed_s = nominal_s * max(1.0, worker.speed) * OVERDUE_FACTOR
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

    def _take_piece(self, worker, piece, handle, reason, now):
        job = piece.job
        state = self._jobs.get(job.job_id)
        if state is None:
            if handle is None:
                return []
            worker.held_bytes += job.result_bytes
            return self._give_up(worker, job, [handle])
        if handle is None:
            return self._take_failed_piece(piece, reason)
        state.handles[piece.number] = handle
        state.made_by[handle] = worker
        worker.held_bytes += job.result_bytes
        if None in state.handles:
            return []
        del self._jobs[job.job_id]
        self._holdings.keep(state, now)
        return [JobDone(job, tuple(state.handles))]

    def _take_failed_piece(self, piece, reason):
        if reason in (REASON_LATE, REASON_GONE):
            return self._refuse(self._jobs[piece.job.job_id], reason, 0.0)
        return self._requeue([piece], count_try=reason != REASON_ROOM)

    def _requeue(self, pieces, count_try):
        actions = []
        for piece in pieces:
            state = self._jobs.get(piece.job.job_id)
            if state is None:
                continue
            piece.tries += count_try
            if piece.tries < MAX_ATTEMPTS:
                state.waiting.append(piece)
                continue
            actions += self._refuse(state, REASON_ERROR, FULL_TARGET_BACKOFF_S)
        return actions

    def _free(self, state):
        """Give up all results of a job; they take up room until that is confirmed."""
        by_worker = {}
        for handle, worker in state.made_by.items():
            by_worker.setdefault(worker, []).append(handle)
        actions = []
        for worker, handles in by_worker.items():
            actions += self._give_up(worker, state.job, handles)
        return actions

    def _give_up(self, worker, job, handles):
        size = job.result_bytes * len(handles)
        worker.freeing_bytes += size
        return [FreeResults(worker.target, tuple(handles), size)]

    def _begin_limit_s(self, job):
        """Return when a job that has not begun can no longer be of use."""
        return job.deadline_s - job.downstream_s - self.get_nominal_s(1)

    def _list_unread(self):
        return [
            call
            for worker in self._workers.values()
            for call in worker.calls.values()
            if not call.read
        ]

    def _list_read(self, now):
        """Return an `InputsRead` for each job whose inputs have been fetched."""
        read = [
            call
            for call in self._list_unread()
            if call.begun_s is not None and call.begun_s + FETCH_S <= now
        ]
        jobs = {}
        for call in read:
            call.read = True
            jobs.update({piece.job.job_id: piece.job for piece in call.pieces})
        unread = {
            piece.job.job_id for call in self._list_unread() for piece in call.pieces
        }
        return [
            InputsRead(job)
            for job_id, job in jobs.items()
            if job.inputs and job_id not in unread and self._is_taken(job_id)
        ]

    def _is_taken(self, job_id):
        """Return whether no piece of a job waits for a call."""
        state = self._jobs.get(job_id)
        return state is not None and not state.waiting

    def _drop_expired(self, now):
        """Forget results that their targets no longer keep."""
        for state in self._holdings.pop_expired(now):
            for worker in state.made_by.values():
                worker.held_bytes -= state.job.result_bytes

    def _drop_hopeless(self, now):
        """Refuse jobs that are late and whose turn will not come in time.

        They would be held until their deadline for nothing.
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
            wait_s = estimate_completion_s(self.spec, workers, pieces, now)
            late = self._rank(job, now)[0]
            if late and now + wait_s + job.downstream_s > job.deadline_s:
                actions += self._refuse(state, REASON_LATE, max(0.1, wait_s))
            else:
                ahead += len(state.waiting)
        return actions

    def _drop_lost(self, now):
        """Refuse the jobs whose pieces, begun now, would be made too late."""
        lost = [
            state
            for state in self._jobs.values()
            if state.waiting and now >= self._begin_limit_s(state.job)
        ]
        actions = []
        for state in lost:
            actions += self._refuse(state, REASON_LATE, 1.0)
        return actions

    def _refuse(self, state, reason, retry_after_s):
        del self._jobs[state.job.job_id]
        return [*self._free(state), JobRefused(state.job, reason, retry_after_s)]
