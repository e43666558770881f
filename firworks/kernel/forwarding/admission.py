"""Decides whether a caller's request is taken in, and what it is entitled to."""

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.messages import Struct

# A caller leaves a stream when its first or next event has not come within the longest
# of these: a fixed time, some times the route's goal, some times its longest pause.
# Source: the platform's description of its clients.
STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_GOALS = 4.0
STREAM_TIMEOUT_GAPS = 8.0
# Share of that time after which a stream that may be resumed is taken from a target
# that sends no whole event: the rest is left for another one.
RESUME_SHARE = 0.6


class AdmittedRequest(Struct):
    """A request with what the configuration says of it.

    Attributes:
        request (CallerRequest): The request.
        route (Route): Its route.
        account (Account or None): Who sent it.
        priority (int): 0 is the most urgent.
        version (int): Of the configuration that was used.
        begun_s (float): When it arrived, monotonic seconds.
        soft_deadline_s (float): When its answer would still be on time.
        first_byte_deadline_s (float): When its caller leaves if the answer has not begun.
        deadline_s (float): When it ends.
    """

    __slots__ = (
        "request",
        "route",
        "account",
        "priority",
        "version",
        "begun_s",
        "soft_deadline_s",
        "first_byte_deadline_s",
        "deadline_s",
    )


def admit(request, configuration, now):
    """Return the `AdmittedRequest` request.

    Args:
        request (CallerRequest): As read from its headers.
        configuration (Configuration or None): In force.
        now (float): Monotonic seconds.

    Raises:
        RequestError: When the configuration does not allow it.
    """
    if configuration is None:
        raise RequestError(Code.NOT_CONFIGURED, "no configuration is known yet")
    if not request.request_id:
        raise RequestError(Code.MALFORMED_REQUEST, "the request has no id")
    route = configuration.find_route(request.host, request.path)
    if route is None:
        raise RequestError(Code.UNKNOWN_PIPELINE, "no route matches")
    account = _find_account(request, route, configuration)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    allowed_s = route.timeout_s
    if request.caller_timeout_s is not None:
        allowed_s = min(allowed_s, request.caller_timeout_s)
    return AdmittedRequest(
        request,
        route,
        account,
        priority,
        configuration.version,
        now,
        now + route.goal_s,
        now + min(allowed_s, compute_caller_timeout_s(route)),
        now + allowed_s,
    )


def compute_caller_timeout_s(route):
    """Return how long callers of a route wait for the next part of an answer.

    Load pattern: in a burst, work is queued for longer than callers of a stream wait
    for its first event, though its deadline is several times later. Stages and engines
    then work for callers that have left.
    """
    if not route.streaming:
        return route.timeout_s
    return max(
        STREAM_TIMEOUT_S,
        STREAM_TIMEOUT_GOALS * route.goal_s,
        STREAM_TIMEOUT_GAPS * route.gap_s,
    )


def compute_stall_limit_s(route):
    """Return how long a target may send no whole event of a stream.

    Load pattern: a target stops in the middle of a stream, or sends a byte now and then
    that completes no event. A slow stream whose callers still wait is not cut.
    """
    share = RESUME_SHARE if route.resumable else 1.0
    return share * compute_caller_timeout_s(route)


def choose_service(route, rng):
    """Return the name of one of a route's services, by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return rng.choices(names, weights)[0] if sum(weights) > 0 else names[0]


def _find_account(request, route, configuration):
    account = None
    if request.key is not None:
        account = configuration.accounts_by_key.get(request.key)
    if account is None and configuration.requires_keys and not route.public:
        raise RequestError(Code.UNAUTHENTICATED, "the key is not valid")
    return account
