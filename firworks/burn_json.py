"""JSON representation of burn snapshots, as served by the admin listener."""

from firworks.burn import WINDOW_S, BurnSnapshot, PipelineBurn, StageSum, WindowSum
from firworks.checks import check_table
from firworks.kernel.messages import Struct

_TEXT = {"type": "string", "maxLength": 200}
_NUMBER = {"type": "number"}
_COUNT = {"type": "integer", "minimum": 0}


def _table(properties):
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": list(properties),
    }


def _list(item):
    return {"type": "array", "items": item, "maxItems": 1000}


_STAGE = _table({"stage": _TEXT, "seconds": _NUMBER, "price": _NUMBER})

_WINDOW = _table(
    {
        "window": {"enum": list(WINDOW_S)},
        "total": _COUNT,
        "met": _COUNT,
        "excluded": _COUNT,
        "stages": _list(_STAGE),
    }
)

_PIPELINE = _table({"pipeline": _TEXT, "objective": _NUMBER, "windows": _list(_WINDOW)})

SCHEMA = _table(
    {
        "daemon": _TEXT,
        "incarnation": _TEXT,
        "version": {"type": "integer"},
        "taken_s": _NUMBER,
        "since_s": _NUMBER,
        "pipelines": _list(_PIPELINE),
    }
)


def pack_struct(value):
    """Return the JSON value of a `Struct`, a sequence or a plain value."""
    if isinstance(value, Struct):
        return {name: pack_struct(getattr(value, name)) for name in value.fields()}
    if isinstance(value, tuple | list):
        return [pack_struct(item) for item in value]
    return value


def parse_snapshot(table, source):
    """Return the `BurnSnapshot` that a JSON value represents.

    Args:
        table (object): Parsed JSON.
        source (str): Origin of the value, for error messages.

    Raises:
        SettingsError: When the value is not a valid snapshot.
    """
    check_table(table, SCHEMA, source)
    pipelines = tuple(_parse_pipeline(item) for item in table["pipelines"])
    return BurnSnapshot(**{**table, "pipelines": pipelines})


def _parse_pipeline(item):
    windows = tuple(_parse_window(window) for window in item["windows"])
    return PipelineBurn(**{**item, "windows": windows})


def _parse_window(item):
    stages = tuple(StageSum(**stage) for stage in item["stages"])
    return WindowSum(**{**item, "stages": stages})
