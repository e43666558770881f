"""Assignment of open deferred requests to daemons."""

from xxhash import xxh64_intdigest

from firworks.kernel.deferred.records import DeferredRun
from firworks.kernel.messages import SendPeer, Struct

HEARTBEAT_TIMEOUT_S = 6.0
RETRY_DELAY_S = 2.0
MAX_RUNS_PER_DAEMON = 4


class Assignment(Struct):
    """The daemon (str) that runs a request, last heard from at `heard_s`."""

    __slots__ = ("runner", "heard_s")


class Assignments:
    """Assigns open requests to live daemons, up to a maximum per daemon.

    Deferred requests are repeatable: one whose runner sends no heartbeats is
    assigned to another daemon.
    """

    def __init__(self):
        self._assigned = {}
        self._retry_s = {}

    def record_heartbeat(self, runner, request_ids, now):
        """Record a runner's heartbeat for the requests (str) that it still runs."""
        for request_id in request_ids:
            assignment = self._assigned.get(request_id)
            if assignment is not None and assignment.runner == runner:
                assignment.heard_s = now

    def record_stopped(self, runner, request_id, now):
        """Unassign a request that its runner abandoned; it is retried later."""
        assignment = self._assigned.get(request_id)
        if assignment is not None and assignment.runner == runner:
            del self._assigned[request_id]
            self._retry_s[request_id] = now + RETRY_DELAY_S

    def poll(self, open_requests, members, now):
        """Return `SendPeer` actions that assign the due requests.

        Args:
            open_requests (dict of str to AcceptRecord): Oldest first.
            members (iterable of str): Live daemons, this one included.
            now (float): Kernel time in seconds.
        """
        self._drop_ended(open_requests, members, now)
        loads = dict.fromkeys(members, 0)
        for assignment in self._assigned.values():
            loads[assignment.runner] += 1
        actions = []
        for record in open_requests.values():
            if min(loads.values()) >= MAX_RUNS_PER_DAEMON:
                break
            if self._is_due(record.request_id, now):
                actions.append(self._assign(record, loads, now))
        return actions

    def _drop_ended(self, open_requests, members, now):
        for request_id, assignment in list(self._assigned.items()):
            silent = now >= assignment.heard_s + HEARTBEAT_TIMEOUT_S
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
        def sort_key(name):
            return loads[name], xxh64_intdigest(f"{record.request_id}/{name}".encode())

        runner = min(loads, key=sort_key)
        loads[runner] += 1
        self._assigned[record.request_id] = Assignment(runner, now)
        run = DeferredRun(
            record.request_id, record.account, record.pipeline, record.body
        )
        return SendPeer(runner, run)
