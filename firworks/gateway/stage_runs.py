"""Runs the stages of one request in the order of their dependencies."""

import asyncio

from firworks.kernel.pools.critical_path import compute_downstream_s, find_gate
from firworks.kernel.pools.jobs import PieceJob


class StageRun:
    """One execution of all stages of a request.

    Args:
        pools (Pools): Pools that run the stages.
        admitted (Admitted): The request.
        locate (callable): ``locate(handle)`` returns the failure domain (str) that
            holds a stage result, or None.
        last_s (float): Expected time of the request's target in seconds.
        fingerprint (bytes): Fingerprint of the request.
        deadline_s (float): When the next event of the request's answer must arrive, in
            monotonic seconds.
        home_domain (str): Failure domain in which it is likely to reach an engine;
            empty if unknown.
    """

    def __init__(
        self,
        pools,
        admitted,
        locate,
        last_s,
        fingerprint,
        deadline_s,
        home_domain="",
    ):
        self._pools = pools
        self._admitted = admitted
        self._locate = locate
        self._fingerprint = fingerprint
        self._deadline_s = deadline_s
        self._home_domain = home_domain
        self._downstream_s = compute_downstream_s(
            admitted.route.stages,
            admitted.request.piece_counts,
            pools.get_stage_spec,
            last_s,
        )
        self._tasks = {}
        self._jobs = {}
        self._fetched = set()
        self._completed = set()
        self._sizes = {}

    async def run(self):
        """Run all stages; return the handles (tuple of str) for the request's target.

        Raises:
            PoolRefusedError: When a pool rejects a stage.
        """
        stages = self._admitted.route.stages
        try:
            for number in range(len(stages)):
                self._tasks[number] = asyncio.ensure_future(self._run_stage(number))
            results = await asyncio.gather(*self._tasks.values())
        except BaseException:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)
            self.free()
            raise
        followed = {before for stage in stages for before in stage.after}
        wanted = [
            handles for number, handles in enumerate(results) if number not in followed
        ]
        return tuple(handle for handles in wanted for handle in handles)

    def sum_bytes_by_domain(self, handles, fetches=1):
        """Return how stage results are distributed over failure domains.

        Args:
            handles (iterable of str): Handles of the results.
            fetches (int): How many times each result is fetched.

        Returns:
            tuple: Failure domains that hold results (tuple of str), and the bytes to
            fetch from each of them (tuple of int).
        """
        sizes = {}
        for handle in handles:
            domain = self._locate(handle)
            if domain is not None:
                size = self._sizes.get(handle, 0) * fetches
                sizes[domain] = sizes.get(domain, 0) + size
        return tuple(sizes), tuple(sizes.values())

    def free(self):
        """Free the results of all stages."""
        for job_id in self._jobs.values():
            self._pools.free(job_id)
        self._jobs.clear()

    def _mark_inputs_fetched(self, number):
        """Let pools evict inputs that no stage has still to fetch."""
        self._fetched.add(number)
        for before in self._list_consumed(number, self._fetched):
            self._pools.mark_read(self._jobs[before])

    def _mark_completed(self, number):
        """Free the inputs of a stage that no unfinished stage needs."""
        self._completed.add(number)
        for before in self._list_consumed(number, self._completed):
            self._pools.free(self._jobs.pop(before))

    def _list_consumed(self, number, passed):
        """Return the inputs of a stage whose consumers are all in ``passed``."""
        stages = self._admitted.route.stages
        return [
            before
            for before in stages[number].after
            if before in self._jobs
            and all(
                follower in passed
                for follower, stage in enumerate(stages)
                if before in stage.after
            )
        ]

    async def _run_stage(self, number):
        counts = self._admitted.request.piece_counts
        pieces = counts[number] if number < len(counts) else 0
        stage = self._admitted.route.stages[number]
        inputs = []
        for before in stage.after:
            inputs += await asyncio.shield(self._tasks[before])
        if pieces <= 0:
            self._mark_inputs_fetched(number)
            self._mark_completed(number)
            return ()
        gate = find_gate(self._admitted.route.stages, counts, number)
        if gate is not None:
            await asyncio.shield(self._tasks[gate])
        request = self._admitted.request
        job = PieceJob(
            self._pools.make_job_id(),
            request.request_id,
            number,
            pieces,
            "" if stage.after else request.piece_key,
            tuple(inputs),
            stage.result_bytes,
            self._admitted.priority,
            self._admitted.soft_deadline_s,
            self._deadline_s,
            self._downstream_s[number],
            # Each piece fetches all inputs.
            *self.sum_bytes_by_domain(inputs, pieces),
            self._fingerprint,
            self._home_domain,
            self._admitted.account_name,
            self._admitted.account_weight,
        )
        self._jobs[number] = job.job_id
        handles = await self._pools.make_pieces(
            stage.service, job, lambda: self._mark_inputs_fetched(number)
        )
        self._sizes.update(dict.fromkeys(handles, stage.result_bytes))
        self._fetched.add(number)
        self._mark_completed(number)
        return handles
