"""Model servers that name a limit, and the check of LIMIT."""

from site2 import STABILITY_S, Engine, now

# LIMIT: in some 4 s, more than one and a half times the limit, and 5 requests.
WINDOW_S = 4.0
FACTOR, EXTRA = 1.5, 5
PASSED_ON_S = 0.5


class LimitedEngine(Engine):
    """An engine in need, which names its limit in all answers.

    Attributes:
        limit (str or None): The limit; None for none.
        answered_s (list of (float, str)): When the heads of answers with a limit were
            sent, and the ids of their requests.
    """

    events = 5
    pause_s = 0.1
    work_s = 0.9

    def __init__(self, *names):
        super().__init__(*names)
        self.answered_s = []

    def _list_notices(self, status, request_id):
        if self.limit is not None:
            self.answered_s.append((now(), request_id))
        return super()._list_notices(status, request_id)


def check_engine(site, engine, sent_to, start_s):
    """Return whether one engine got no more than its limit allows.

    Args:
        site (Site): Gets notes.
        engine (LimitedEngine): The engine; its limit did not change.
        sent_to (dict of str to str): Name of the gateway by the id of the request.
        start_s (float): When the callers began.
    """
    first_passed_s = {}
    for answered_s, request_id in engine.answered_s:
        gateway = sent_to.get(request_id)
        if gateway is not None:
            first_passed_s.setdefault(gateway, answered_s)
    named_s = min(first_passed_s.values(), default=float("inf"))
    counted = []
    for arrived_s, request_id in engine.arrivals_s:
        gateway = sent_to[request_id]
        passed_s = first_passed_s.get(gateway, float("inf"))
        counts = arrived_s >= max(named_s + STABILITY_S, passed_s + PASSED_ON_S)
        site.note(
            f"run {request_id} at {engine.target_id} {arrived_s - start_s:.3f} "
            f"{gateway} {'counts' if counts else 'not counted'}"
        )
        if counts:
            counted.append(arrived_s)
    most = max(
        (sum(0 <= one - begin < WINDOW_S for one in counted) for begin in counted),
        default=0,
    )
    allowed = FACTOR * WINDOW_S * float(engine.limit) + EXTRA
    site.note(f"{engine.target_id}: at most {most} in {WINDOW_S} s, {allowed} allowed")
    return most <= allowed
