"""Lists what differs between two configurations by its meaning to gateways.

The order of entries, defaults that are written out, and the scale of weights make no
difference to gateways.
"""

from firworks.kernel.messages import Struct

ADDED, REMOVED, CHANGED = "added", "removed", "changed"


class Change(Struct):
    """One difference between two configurations.

    Attributes:
        kind (str): ``ADDED``, ``REMOVED`` or ``CHANGED``.
        place (str): The entry, such as ``routes: desk.example/stock/``.
        field (str): What differs; empty for an entry that was added or removed.
        old (str): Value before; empty for an entry that was added.
        new (str): Value after; empty for an entry that was removed. Neither holds an
            API key.
    """

    __slots__ = ("kind", "place", "field", "old", "new")


def list_changes(old, new):
    """Return the changes (list of Change) from one `Configuration` to another."""
    return [
        *_compare("routes", _describe_routes(old), _describe_routes(new)),
        *_compare("services", _describe_services(old), _describe_services(new)),
        *_compare("limits", _describe_limits(old), _describe_limits(new)),
        *_compare("tenants", _describe_accounts(old), _describe_accounts(new)),
        *_compare_keys(old, new),
        *_compare("keys", _describe_need(old), _describe_need(new)),
    ]


def _compare(section, old, new):
    """Yield the differences of two tables (dict of str to dict) of entries."""
    for name in [*old, *(name for name in new if name not in old)]:
        place = f"{section}: {name}"
        if name not in new:
            yield Change(REMOVED, place, "", _join(old[name]), "")
        elif name not in old:
            yield Change(ADDED, place, "", "", _join(new[name]))
        else:
            for field in {**old[name], **new[name]}:
                before, after = old[name].get(field), new[name].get(field)
                if before != after:
                    yield Change(CHANGED, place, field, str(before), str(after))


def _join(fields):
    return ", ".join(f"{name} {value}" for name, value in fields.items())


def _describe_routes(configuration):
    """Return the routes that requests can match, by host and prefix."""
    routes = {}
    for route in configuration.routes:
        fields = {name: getattr(route, name) for name in route.fields()}
        for name in ("host", "prefix"):
            del fields[name]
        fields["services"] = _describe_split(route.services)
        fields["stages"] = tuple(
            (stage.service, tuple(sorted(set(stage.after))), stage.result_bytes)
            for stage in route.stages
        )
        # Of several routes with one host and prefix, the first one matches.
        routes.setdefault(f"{route.host}{route.prefix}", fields)
    return routes


def _describe_split(services):
    """Return the share (float) of requests that each of a route's services gets."""
    total = sum(weight for _, weight in services)
    if len(services) == 1 or not total:
        return {services[0][0]: 1.0}
    shares = {}
    for name, weight in services:
        if weight:
            shares[name] = shares.get(name, 0.0) + weight / total
    return {name: round(share, 6) for name, share in sorted(shares.items())}


def _describe_services(configuration):
    return {
        service.name: {
            **{
                name: getattr(service, name)
                for name in service.fields()
                if name not in ("name", "engine", "stage_pool")
            },
            **_flatten("engine", service.engine),
            **_flatten("pieces", service.stage_pool),
        }
        for service in configuration.services.values()
    }


def _flatten(name, spec):
    """Return the fields of an engine or stage pool (Struct or None) by their names."""
    if spec is None:
        return {}
    return {f"{name}.{field}": getattr(spec, field) for field in spec.fields()}


def _describe_limits(configuration):
    limits = configuration.limits
    return {"callers": {name: getattr(limits, name) for name in limits.fields()}}


def _describe_accounts(configuration):
    """Return the accounts by name; their keys are compared by `_compare_keys`."""
    return {
        account.name: {
            name: getattr(account, name)
            for name in account.fields()
            if name not in ("name", "keys")
        }
        for account in configuration.accounts
    }


def _describe_need(configuration):
    return {"requests": {"required": configuration.requires_keys}}


def _compare_keys(old, new):
    """Yield the keys that begin or cease to be valid, counted by account."""
    before = {key: one.name for key, one in old.accounts_by_key.items()}
    after = {key: one.name for key, one in new.accounts_by_key.items()}
    for name in sorted({*before.values(), *after.values()}):
        held = {key for key, holder in before.items() if holder == name}
        holds = {key for key, holder in after.items() if holder == name}
        if held != holds:
            changed = f"{len(holds - held)} added, {len(held - holds)} revoked"
            yield Change(
                CHANGED,
                f"tenants: {name}",
                "keys",
                f"{len(held)} valid",
                f"{len(holds)} valid ({changed})",
            )
