"""Which daemon runs which open deferred request."""

from xxhash import xxh64_intdigest

from firworks.kernel.deferred.records import DeferredRun
from firworks.kernel.messages import SendPeer, Struct

BEAT_TIMEOUT_S = 6.0
RETRY_S = 2.0
RUN_LIMIT = 4


class Assignment(Struct):
    """A daemon that was asked to run a request, and when it was last heard of."""

    __slots__ = ("runner", "heard_s")


class Assignments:
    """Hands open requests to live daemons, a few at a time to each.

    The work is repeatable: when a runner stays silent another one is asked.
    """

    def __init__(self):
        self._assigned = {}
        self._retry_s = {}

    def record_heartbeat(self, runner, request_ids, now):
        """A runner still works on some requests."""
        for request_id in request_ids:
            assignment = self._assigned.get(request_id)
            if assignment is not None and assignment.runner == runner:
                assignment.heard_s = now

    def record_stopped(self, runner, request_id, now):
        """A runner gave up on a request; it is handed out again later."""
        assignment = self._assigned.get(request_id)
        if assignment is not None and assignment.runner == runner:
            del self._assigned[request_id]
            self._retry_s[request_id] = now + RETRY_S

    def poll(self, open_requests, members, now):
        """Return `SendPeer` actions that hand out requests; to this daemon as well.

        Args:
            open_requests (dict of str to AcceptRecord): Oldest first.
            members (iterable of str): Live daemons.
            now (float): Kernel time.
        """
        self._drop_ended(open_requests, members, now)
        loads = dict.fromkeys(members, 0)
        for assignment in self._assigned.values():
            loads[assignment.runner] += 1
        actions = []
        for record in open_requests.values():
            if min(loads.values()) >= RUN_LIMIT:
                break
            if self._is_due(record.request_id, now):
                actions.append(self._assign(record, loads, now))
        return actions

    def _drop_ended(self, open_requests, members, now):
        for request_id, assignment in list(self._assigned.items()):
            silent = now >= assignment.heard_s + BEAT_TIMEOUT_S
            gone = assignment.runner not in members
            if silent or gone or request_id not in open_requests:
                del self._assigned[request_id]
        for request_id in [i for i in self._retry_s if i not in open_requests]:
            del self._retry_s[request_id]

    def _is_due(self, request_id, now):
        if request_id in self._assigned:
            return False
        return now >= self._retry_s.get(request_id, 0.0)

    def _assign(self, record, loads, now):
        def weigh(name):
            return loads[name], xxh64_intdigest(f"{record.request_id}/{name}".encode())

        runner = min(loads, key=weigh)
        loads[runner] += 1
        self._assigned[record.request_id] = Assignment(runner, now)
        run = DeferredRun(
            record.request_id, record.account, record.pipeline, record.body
        )
        return SendPeer(runner, run)
