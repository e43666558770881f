"""Runs the stages of one request in the order that their inputs allow."""

import asyncio
from itertools import count

from firworks.kernel.pools.jobs import PieceJob
from firworks.kernel.pools.paths import compute_later_s

_job_numbers = count(1)


class StageRun:
    """The stages of one request.

    Args:
        pools (Pools): Make the pieces.
        admitted (Admitted): The request.
        failure_domain (str): This daemon's.
        owner (str): Unique name of this run of the daemon.
        last_s (float): Time that the target of the request itself needs.
    """

    def __init__(self, pools, admitted, failure_domain, owner, last_s):
        self._pools = pools
        self._admitted = admitted
        self._failure_domain = failure_domain
        self._owner = owner
        self._later_s = compute_later_s(
            admitted.route.stages,
            admitted.request.piece_counts,
            pools.get_nominal_s,
            last_s,
        )
        self._tasks = {}
        self._jobs = []

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

    def free(self):
        """Give up all results."""
        for job_id in self._jobs:
            self._pools.free(job_id)
        self._jobs.clear()

    async def _make(self, number):
        counts = self._admitted.request.piece_counts
        pieces = counts[number] if number < len(counts) else 0
        stage = self._admitted.route.stages[number]
        inputs = []
        for before in stage.after:
            inputs += await asyncio.shield(self._tasks[before])
        if pieces <= 0:
            return ()
        request = self._admitted.request
        job = PieceJob(
            f"{self._owner}/{next(_job_numbers)}",
            request.request_id,
            number,
            pieces,
            "" if stage.after else request.piece_key,
            tuple(inputs),
            stage.result_bytes,
            self._admitted.priority,
            self._admitted.aim_s,
            self._admitted.deadline_s,
            self._later_s[number],
            self._failure_domain,
        )
        self._jobs.append(job.job_id)
        return await self._pools.make_pieces(stage.service, job)
