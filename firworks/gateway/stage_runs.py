"""Runs the stages of one request in the order that their inputs allow."""

import asyncio

from firworks.kernel.pools.jobs import PieceJob
from firworks.kernel.pools.critical_path import compute_downstream_s, find_gate


class StageRun:
    """The stages of one request.

    Args:
        pools (Pools): Make the pieces.
        admitted (Admitted): The request.
        locate (callable): ``locate(handle)`` returns the failure domain (str) of a
            result, or None.
        last_s (float): Time that the target of the request itself needs.
        fingerprint (bytes): Of the request.
    """

    def __init__(self, pools, admitted, locate, last_s, fingerprint):
        self._pools = pools
        self._admitted = admitted
        self._locate = locate
        self._fingerprint = fingerprint
        self._later_s = compute_downstream_s(
            admitted.route.stages,
            admitted.request.piece_counts,
            pools.get_stage_spec,
            last_s,
        )
        self._tasks = {}
        self._jobs = {}
        self._read = set()
        self._made = set()
        self._sizes = {}

    async def run(self):
        """Return the handles (tuple of str) that the request's target needs.

        Raises:
            PoolRefusedError: When a stage will not be finished.
        """
        stages = self._admitted.route.stages
        try:
            for number in range(len(stages)):
                self._tasks[number] = asyncio.ensure_future(self._make(number))
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

    def weigh_inputs(self, handles, fetches=1):
        """Return where results are.

        Args:
            handles (iterable of str): The results.
            fetches (int): How often each of them is fetched.

        Returns:
            tuple: The failure domains (tuple of str) that hold some, and the size of
            those in each of them in bytes (tuple of int).
        """
        sizes = {}
        for handle in handles:
            domain = self._locate(handle)
            if domain is not None:
                size = self._sizes.get(handle, 0) * fetches
                sizes[domain] = sizes.get(domain, 0) + size
        return tuple(sizes), tuple(sizes.values())

    def free(self):
        """Give up all results."""
        for job_id in self._jobs.values():
            self._pools.free(job_id)
        self._jobs.clear()

    def _note_read(self, number):
        """Let the results go for room that no other stage has still to read."""
        self._read.add(number)
        for before in self._list_last_before(number, self._read):
            self._pools.mark_read(self._jobs[before])

    def _note_made(self, number):
        """Give up the results that no other stage needs any longer."""
        self._made.add(number)
        for before in self._list_last_before(number, self._made):
            self._pools.free(self._jobs.pop(before))

    def _list_last_before(self, number, passed):
        """Return the stages before one whose followers are all among some stages."""
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

    async def _make(self, number):
        counts = self._admitted.request.piece_counts
        pieces = counts[number] if number < len(counts) else 0
        stage = self._admitted.route.stages[number]
        inputs = []
        for before in stage.after:
            inputs += await asyncio.shield(self._tasks[before])
        if pieces <= 0:
            self._note_read(number)
            self._note_made(number)
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
            self._admitted.first_byte_deadline_s,
            self._later_s[number],
            # Each piece fetches all inputs.
            *self.weigh_inputs(inputs, pieces),
            self._fingerprint,
        )
        self._jobs[number] = job.job_id
        handles = await self._pools.make_pieces(
            stage.service, job, lambda: self._note_read(number)
        )
        self._sizes.update(dict.fromkeys(handles, stage.result_bytes))
        self._read.add(number)
        self._note_made(number)
        return handles
