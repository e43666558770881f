"""Decoder of the operator's configuration record."""

from firworks.decoding import check_integer, check_number, check_text
from firworks.errors import CodecError
from firworks.kernel.forwarding.configuration import (
    Account,
    CallerLimits,
    Configuration,
    EngineSpec,
    Route,
    Service,
    StagePoolSpec,
    StageSpec,
)
from firworks.kernel.pools.accounts import DEFAULT_WEIGHT, MAX_WEIGHT, MIN_WEIGHT
from firworks.platform.fields import (
    get_integer,
    get_list,
    get_number,
    get_object,
    get_objects,
    get_string,
    parse_object,
)

# Used for limits that a record omits.
DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3.0, 15.0)


def decode_configuration(data):
    """Return the `Configuration` encoded in a record.

    Raises:
        CodecError: When a required field is missing or a field has the wrong type; it
            names the entry by its list and number from 0.
    """
    fields = parse_object(data)
    version = get_integer(fields, "version")
    routes = _decode_all(fields, "routes", _decode_route)
    services = _decode_all(fields, "services", _decode_service)
    limits = _decode_limits(get_object(fields, "limits"))
    accounts = _decode_all(fields, "tenants", _decode_account)
    return Configuration(version, routes, services, limits, accounts)


def _decode_all(fields, name, decode):
    """Return the decoded entries of a list field."""
    entries = []
    for number, row in enumerate(get_objects(fields, name)):
        try:
            entries.append(decode(row))
        except CodecError as error:
            raise CodecError(f"{name}[{number}]: {error}") from error
    return entries


def _decode_route(row):
    # Routes shared by several services have "traffic-split" instead of "service".
    split = [
        (get_string(part, "service"), float(get_number(part, "weight")))
        for part in get_objects(row, "traffic-split")
    ]
    if not split:
        split = [(get_string(row, "service"), 1.0)]
    timeout_s = get_number(row, "timeout-ms") / 1000
    return Route(
        name=get_string(row, "name"),
        host=get_string(row, "host"),
        prefix=get_string(row, "path-prefix"),
        kind=get_string(row, "kind"),
        timeout_s=timeout_s,
        goal_s=get_number(row, "goal-ms", timeout_s * 1000) / 1000,
        priority=int(get_number(row, "priority", 0)),
        services=tuple(split),
        max_attempts=max(1, int(get_number(row, "max-attempts", 1))),
        stages=tuple(_decode_stage(stage) for stage in get_objects(row, "stages")),
        public=row.get("public") is True,
        resumable=row.get("resumable") is True,
        gap_s=get_number(row, "gap-aim-ms", 0) / 1000,
    )


def _decode_stage(row):
    after = tuple(check_integer(one, "after") for one in get_list(row, "after"))
    return StageSpec(
        get_string(row, "service"), after, int(get_number(row, "bytes", 0))
    )


def _decode_service(row):
    return Service(
        name=get_string(row, "name"),
        health_path=get_string(row, "health-path"),
        # The limit of one target, summed over the connections of all daemons.
        max_connections=int(get_number(row, "max-conns", 0)),
        engine=_decode_engine(
            get_object(row, "engine"), get_number(row, "cold-per-s", 0)
        ),
        stage_pool=_decode_stage_pool(get_object(row, "pieces")),
    )


def _decode_engine(row, cold_per_s):
    if row is None:
        return None
    slots = int(get_number(row, "slots"))
    return EngineSpec(slots, int(get_number(row, "kv-capacity")), cold_per_s)


def _decode_stage_pool(row):
    if row is None:
        return None
    return StagePoolSpec(
        slots=int(get_number(row, "slots")),
        queue=int(get_number(row, "queue")),
        batch=max(1, int(get_number(row, "batch"))),
        call_s=get_number(row, "call-ms") / 1000,
        piece_s=get_number(row, "item-ms") / 1000,
        memory_bytes=int(get_number(row, "headroom-mb", 0) * 1_000_000),
        result_ttl_s=get_number(row, "handle-s", 0),
    )


def _decode_limits(row):
    if row is None:
        return DEFAULT_LIMITS
    return CallerLimits(
        int(get_number(row, "max-header-bytes", DEFAULT_LIMITS.header_bytes)),
        int(get_number(row, "max-body-bytes", DEFAULT_LIMITS.body_bytes)),
        get_number(row, "header-timeout-ms", 3000) / 1000,
        get_number(row, "idle-timeout-ms", 15_000) / 1000,
    )


def _decode_account(row):
    priority = row.get("priority")
    return Account(
        name=get_string(row, "name"),
        priority=priority if type(priority) is int else None,
        keys=tuple(check_text(key, "api-keys") for key in get_list(row, "api-keys")),
        weight=_decode_weight(row),
    )


def _decode_weight(row):
    # Zero is no weight: an account that is to get nothing has no valid key.
    weight = row.get("weight", DEFAULT_WEIGHT)
    return float(check_number(weight, "weight", MIN_WEIGHT, MAX_WEIGHT))
