"""Finds entries of a valid configuration that cannot do what they say.

A gateway accepts such a configuration. It is found when requests fail, or when an entry
is missed that never had an effect.
"""

from graphlib import CycleError, TopologicalSorter

from firworks.kernel.forwarding.configuration import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING,
)
from firworks.kernel.forwarding.outcomes import MIN_RETRY_TIME_S
from firworks.kernel.messages import Struct

# Kinds of findings.
UNMATCHED = "never matches"
CONTRADICTORY = "contradicts"
KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)


class Finding(Struct):
    """An entry that cannot do what it says.

    Attributes:
        kind (str): ``UNMATCHED`` or ``CONTRADICTORY``.
        place (str): The entry, such as ``routes: stock``.
        detail (str): What is wrong; it holds no API key.
    """

    __slots__ = ("kind", "place", "detail")


def check_configuration(configuration, most_resends):
    """Return the findings (list of Finding) about a `Configuration`.

    Args:
        configuration (Configuration): As a gateway decodes it.
        most_resends (float): Sends beyond the first that the retry budget of the fleet
            grants to a single request.
    """
    findings = [
        *_check_names(configuration),
        *_check_accounts(configuration),
        *_check_limits(configuration.limits),
    ]
    for route in configuration.routes:
        place = f"routes: {route.name}"
        findings += _check_match(route, place, configuration)
        findings += _check_times(route, place, most_resends)
        findings += _check_services(route, place, configuration)
        findings += _check_stages(route, place, configuration)
    for service in configuration.services.values():
        findings += _check_service(service, configuration)
    return findings


def _check_names(configuration):
    """Check names that must be unique."""
    lists = [("routes", configuration.routes), ("services", configuration.all_services)]
    for section, entries in [*lists, ("tenants", configuration.accounts)]:
        seen = set()
        for entry in entries:
            if entry.name in seen:
                detail = "another entry has the same name"
                if section == "services":
                    detail += "; the last one holds"
                yield Finding(CONTRADICTORY, f"{section}: {entry.name}", detail)
            seen.add(entry.name)


def _check_accounts(configuration):
    holders = {}
    for account in configuration.accounts:
        place = f"tenants: {account.name}"
        for key in account.keys:
            if key in holders:
                detail = (
                    f"holds a key that {holders[key]} holds too; the last one gets it"
                )
                yield Finding(CONTRADICTORY, place, detail)
            holders[key] = account.name
    closed = [route for route in configuration.routes if not route.public]
    if configuration.requires_keys and not holders and closed:
        detail = "no account has a key, and only public routes are served without one"
        yield Finding(CONTRADICTORY, "tenants", detail)


def _check_limits(limits):
    names = {
        "max-header-bytes": limits.header_bytes,
        "header-timeout-ms": limits.header_timeout_s,
        "idle-timeout-ms": limits.idle_timeout_s,
    }
    for name, value in names.items():
        if not value:
            yield Finding(CONTRADICTORY, f"limits: {name}", "0 permits no request")


def _check_match(route, place, configuration):
    """Check that requests can match a route, and that its kind is known."""
    if not route.prefix.startswith("/") or "?" in route.prefix:
        detail = f"no path begins with {route.prefix!r}"
        yield Finding(UNMATCHED, place, detail)
    if not route.host:
        yield Finding(UNMATCHED, place, "the host is empty")
    found = configuration.find_route(route.host, route.prefix)
    if found is not None and found is not route:
        detail = f"shadowed by {found.name}, with the same host and prefix"
        yield Finding(UNMATCHED, place, detail)
    if route.kind not in KINDS:
        detail = f"kind {route.kind!r} counts as {NON_IDEMPOTENT}"
        yield Finding(CONTRADICTORY, place, detail)
    if route.resumable and not route.streaming:
        detail = f"resumable has no effect on kind {route.kind!r}"
        yield Finding(UNMATCHED, place, detail)


def _check_times(route, place, most_resends):
    if route.timeout_s < route.goal_s:
        detail = f"timeout {route.timeout_s:g} s is below the goal {route.goal_s:g} s"
        yield Finding(CONTRADICTORY, place, detail)
    if not route.timeout_s:
        yield Finding(CONTRADICTORY, place, "a timeout of 0 permits no request")
    resends = route.max_attempts - 1
    if resends and resends * MIN_RETRY_TIME_S >= route.timeout_s:
        detail = f"{route.max_attempts} attempts do not fit into the timeout"
        yield Finding(CONTRADICTORY, place, detail)
    if resends > most_resends:
        detail = f"the retry budget cannot pay for {route.max_attempts} attempts"
        yield Finding(CONTRADICTORY, place, detail)


def _check_services(route, place, configuration):
    names = [name for name, _ in route.services]
    for name in sorted(set(names)):
        if name not in configuration.services:
            yield Finding(CONTRADICTORY, place, f"there is no service {name!r}")
        if names.count(name) > 1:
            yield Finding(CONTRADICTORY, place, f"names service {name!r} twice")
    weights = [weight for _, weight in route.services]
    if len(names) > 1 and not any(weights):
        detail = "all weights are 0; the first service gets all requests"
        yield Finding(CONTRADICTORY, place, detail)
    elif len(names) > 1:
        for name, weight in route.services:
            if not weight:
                detail = f"service {name!r} has weight 0 and gets no request"
                yield Finding(UNMATCHED, place, detail)


def _check_stages(route, place, configuration):
    count = len(route.stages)
    for number, stage in enumerate(route.stages):
        service = configuration.services.get(stage.service)
        if service is None or service.stage_pool is None:
            detail = f"stage {number}: {stage.service!r} is no service with pieces"
            yield Finding(CONTRADICTORY, place, detail)
        for before in stage.after:
            if before >= count:
                detail = f"stage {number}: there is no stage {before}"
                yield Finding(CONTRADICTORY, place, detail)
    order = _sort_stages(route.stages)
    if order is None:
        yield Finding(CONTRADICTORY, place, "its stages wait for each other")
        return
    shortest_s = _sum_stage_times(route.stages, order, configuration)
    for name, limit_s in (("timeout", route.timeout_s), ("goal", route.goal_s)):
        if shortest_s >= limit_s > 0.0:
            detail = f"its stages take {shortest_s:g} s, the {name} is {limit_s:g} s"
            yield Finding(CONTRADICTORY, place, detail)
            return


def _sort_stages(stages):
    """Return the numbers of stages in an order in which they can run, or None."""
    graph = {number: set(stage.after) for number, stage in enumerate(stages)}
    try:
        return [
            number
            for number in TopologicalSorter(graph).static_order()
            if number < len(stages)
        ]
    except CycleError:
        return None


def _sum_stage_times(stages, order, configuration):
    """Return the least seconds that stages take with one piece each, without queues."""
    ends_s = {}
    for number in order:
        service = configuration.services.get(stages[number].service)
        pool = None if service is None else service.stage_pool
        begin_s = max((ends_s.get(one, 0.0) for one in stages[number].after), default=0)
        ends_s[number] = begin_s + (0.0 if pool is None else pool.estimate_call_s(1))
    return max(ends_s.values(), default=0.0)


def _check_service(service, configuration):
    place = f"services: {service.name}"
    used = {name for route in configuration.routes for name, _ in route.services}
    used |= {stage.service for route in configuration.routes for stage in route.stages}
    if service.name not in used:
        yield Finding(UNMATCHED, place, "no route uses it")
    if service.engine is not None and service.stage_pool is not None:
        yield Finding(CONTRADICTORY, place, "with pieces, its engine has no effect")
    elif service.engine is not None:
        for name, value in (
            ("slots", service.engine.slots),
            ("kv-capacity", service.engine.memory_tokens),
        ):
            if not value:
                yield Finding(CONTRADICTORY, place, f"{name} 0 permits no request")
    if service.stage_pool is not None and not service.stage_pool.slots:
        yield Finding(CONTRADICTORY, place, "slots 0 permits no call")
