"""Decides whether a caller's request is taken in, and what it is entitled to."""

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.messages import Struct


class Admitted(Struct):
    """A request with what the configuration says of it.

    Attributes:
        request (CallerRequest): The request.
        route (Route): Its route.
        account (Account or None): Who sent it.
        priority (int): 0 is the most urgent.
        version (int): Of the configuration that was used.
        begun_s (float): When it arrived, monotonic seconds.
        aim_s (float): When its answer would still be on time.
        deadline_s (float): When it ends.
    """

    __slots__ = (
        "request",
        "route",
        "account",
        "priority",
        "version",
        "begun_s",
        "aim_s",
        "deadline_s",
    )


def admit(request, configuration, now):
    """Return the `Admitted` request.

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
    if request.patience_s is not None:
        allowed_s = min(allowed_s, request.patience_s)
    return Admitted(
        request,
        route,
        account,
        priority,
        configuration.version,
        now,
        now + route.goal_s,
        now + allowed_s,
    )


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
    if account is None and configuration.keyed and not route.public:
        raise RequestError(Code.UNAUTHENTICATED, "the key is not valid")
    return account
