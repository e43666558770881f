"""JSON schema of the environment document.

The schema of a released format number does not change.
"""

FORMAT = 1
MAX_DOCUMENT_BYTES = 4_194_304
MAX_PIPELINES = 63
MAX_POOLS = 256
MAX_TARGETS = 10_000
MAX_ACCOUNTS = 10_000

_NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9-]{0,62}\Z"}
_SHARE = {"type": "number", "minimum": 0, "maximum": 1}


def _table(properties, required=()):
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": list(required),
    }


def _named(item, limit):
    return {
        "type": "object",
        "maxProperties": limit,
        "propertyNames": _NAME,
        "additionalProperties": item,
    }


_STAGE = _table(
    {
        "name": _NAME,
        "pool": _NAME,
        "operation": {"type": "string", "minLength": 1, "maxLength": 200},
        "model": {"type": "string"},
        "repeatable": {"type": "boolean"},
        "expected_tokens": {"type": "integer", "minimum": 0},
    },
    ("name", "pool", "operation"),
)

_PIPELINE = _table(
    {
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600_000},
        "objective": {"type": "number", "exclusiveMinimum": 0, "exclusiveMaximum": 1},
        "attainment_weight": _SHARE,
        "deferred": {"type": "boolean"},
        "stages": {
            "type": "array",
            "items": _STAGE,
            "minItems": 1,
            "maxItems": 6,
        },
    },
    ("deadline_ms", "stages"),
)

_POOL = _table(
    {
        "kind": {"enum": ["engine", "service"]},
        "targets": {
            "type": "array",
            "items": _NAME,
            "minItems": 1,
            "maxItems": MAX_TARGETS,
            "uniqueItems": True,
        },
        "reports_load": {"type": "boolean"},
        "concurrency": {"type": "integer", "minimum": 1},
        "price_per_second": {"type": "number", "minimum": 0},
        "checks_fencing": {"type": "boolean"},
        "models": {"type": "array", "items": {"type": "string"}},
        "versions": {
            "type": "object",
            "additionalProperties": {"type": "string", "minLength": 1},
        },
        "adapters": {
            "type": "array",
            "items": {"type": "string", "pattern": r"^[^/]+/[^/]+\Z"},
            "uniqueItems": True,
        },
        "role": {"enum": ["", "mixed", "prefill", "decode"]},
        "manage_models": {"type": "boolean"},
        "routing": _NAME,
        "queue": {"enum": ["fair", "fifo"]},
        "ejection_share": {"type": "number", "minimum": 0, "maximum": 0.5},
        "retry_share": {"type": "number", "minimum": 0, "maximum": 0.1},
        "hedge_share": {"type": "number", "minimum": 0, "maximum": 0.1},
    },
    ("kind", "targets"),
)

_ACCOUNT = _table(
    {
        "token_sha256": {
            "type": "array",
            "items": {"type": "string", "pattern": r"^[0-9a-f]{64}\Z"},
            "minItems": 1,
            "uniqueItems": True,
        },
        "rate_per_s": {"type": "number", "exclusiveMinimum": 0},
        "concurrency": {"type": "integer", "minimum": 1},
        "weight": {"type": "number", "exclusiveMinimum": 0},
    },
    ("token_sha256", "rate_per_s", "concurrency"),
)

SCHEMA = _table(
    {
        "format": {"const": FORMAT},
        "pipelines": _named(_PIPELINE, MAX_PIPELINES),
        "pools": _named(_POOL, MAX_POOLS),
        "accounts": _named(_ACCOUNT, MAX_ACCOUNTS),
        "weight_store": _table(
            {"concurrent_loads": {"type": "integer", "minimum": 1}},
            ("concurrent_loads",),
        ),
    },
    ("format", "pipelines", "pools", "accounts"),
)
