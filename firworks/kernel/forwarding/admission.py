"""Admission control: authenticates, routes and sets deadlines for caller requests."""

from random import Random

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.messages import Struct
from firworks.kernel.pools.accounts import DEFAULT_WEIGHT

# A caller abandons a stream when its first or next event takes longer than the largest
# of these: a fixed time, a multiple of the route's latency goal, and a multiple of its
# goal for gaps between events. Source: the platform's description of its clients.
STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_GOALS = 4.0
STREAM_TIMEOUT_GAPS = 8.0
# Share of that time after which a resumable stream is moved off a target that has sent
# no complete event; the rest is left for the next target.
RESUME_SHARE = 0.6


class AdmittedRequest(Struct):
    """A request with its route, account and deadlines.

    Attributes:
        request (CallerRequest): The request.
        route (Route): The route that it matches.
        account (Account or None): The client account that sent it.
        has_key (bool): Its Authorization header is an API key, if there is one.
        priority (int): 0 is the most urgent.
        version (int): Version of the configuration that was applied.
        arrived_s (float): Arrival time, monotonic seconds, as the others below.
        soft_deadline_s (float): Latest time that meets the route's latency goal.
        first_byte_deadline_s (float): When the caller gives up unless the response
            has begun.
        deadline_s (float): When the request times out.
    """

    __slots__ = (
        "request",
        "route",
        "account",
        "has_key",
        "priority",
        "version",
        "arrived_s",
        "soft_deadline_s",
        "first_byte_deadline_s",
        "deadline_s",
    )

    @property
    def account_name(self):
        """Name of the client account (str), or an empty one."""
        return "" if self.account is None else self.account.name

    @property
    def account_weight(self):
        """Weight of the account's share of pools (float)."""
        return DEFAULT_WEIGHT if self.account is None else self.account.weight


def admit(request, configuration, now):
    """Return the `AdmittedRequest` for a request.

    Args:
        request (CallerRequest): As read from its headers.
        configuration (Configuration or None): The active one.
        now (float): Monotonic seconds.

    Raises:
        RequestError: If there is no configuration, no request id, no matching route
            or no valid key.
    """
    if configuration is None:
        raise RequestError(Code.NOT_CONFIGURED, "no configuration has been loaded yet")
    if not request.request_id:
        raise RequestError(Code.MALFORMED_REQUEST, "the request has no request id")
    route = configuration.find_route(request.host, request.path)
    if route is None:
        raise RequestError(Code.UNKNOWN_PIPELINE, "no route matches the host and path")
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
        configuration.requires_keys,
        priority,
        configuration.version,
        now,
        now + route.goal_s,
        now + min(allowed_s, compute_caller_timeout_s(route)),
        now + allowed_s,
    )


def compute_caller_timeout_s(route):
    """Return the seconds that callers of a route wait for the next part of a response.

    Load pattern: in a burst, requests are queued for longer than callers of a stream
    wait for the first event, although their deadline is several times later. Stages and
    engines would then work for callers that have disconnected.
    """
    if not route.streaming:
        return route.timeout_s
    return max(
        STREAM_TIMEOUT_S,
        STREAM_TIMEOUT_GOALS * route.goal_s,
        STREAM_TIMEOUT_GAPS * route.gap_s,
    )


def compute_stall_limit_s(route):
    """Return the seconds that a target may go without completing a stream event.

    Load pattern: a target stalls in the middle of a stream, or trickles bytes without
    completing an event. A slow stream whose callers are still waiting is not cut off.
    """
    share = RESUME_SHARE if route.resumable else 1.0
    return share * compute_caller_timeout_s(route)


def choose_service(route, request_id):
    """Return the name of one of a route's services, drawn by weight.

    All daemons draw the same one for a request id, so that a stream is resumed at the
    service that began it while the route's weights stay the same.

    Args:
        route (Route): The route.
        request_id (str): Id of the request, or of the attempt that it resumes.
    """
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    if len(names) == 1 or sum(weights) <= 0:
        return names[0]
    return Random(f"{route.name}/{request_id}").choices(names, weights)[0]


def _find_account(request, route, configuration):
    account = None
    if request.key is not None:
        account = configuration.accounts_by_key.get(request.key)
    if account is None and configuration.requires_keys and not route.public:
        raise RequestError(Code.UNAUTHENTICATED, "the API key is missing or not valid")
    return account
