"""Settings of a gateway process: schema, defaults and loading."""

import os

from firworks.checks import check_table, parse_toml
from firworks.errors import SettingsError
from firworks.ingress_settings import INGRESS_DEFAULTS, INGRESS_SCHEMA
from firworks.kernel.pools.engines import BY_TIME, BY_TOKENS

PATH_VARIABLE = "FIRWORKS_NODE_FILE"

_ADDRESS = {"type": "string", "pattern": r"^([0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}\Z"}
_SECONDS = {"type": "number", "exclusiveMinimum": 0}
_NAME = {"type": "string", "minLength": 1, "maxLength": 200}

DEFAULTS = {
    "log_format": "json",
    "drain_limit_s": 8.0,
    "leave_limit_ms": 2000,
    "retry_ratio": 0.2,
    "retry_slack": 100.0,
    "retry_window_s": 10.0,
    "extra_attempts_share": 0.0,
    "extra_attempts_quantile": 0.95,
    "cpu_share": 1.0,
    "link_mbps": 100.0,
    "account_shares": "off",
    **INGRESS_DEFAULTS,
    "peer_secret": "",
    "stage_answer_times": False,
    "stage_memory_reuse": False,
    "result_locality": "off",
    "target_load_reports": False,
    "tls_certificate": "",
    "tls_key": "",
    "tls_authority": "",
    "seed": 0,
    "seeds": [],
    "engine_placement": BY_TOKENS,
    "engine_memory_mb": 0,
    "engine_waste_weight": 1.0,
}

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": [
        "name",
        "region",
        "failure_domain",
        "callers",
        "readiness",
        "peers",
        "metrics",
        "store",
    ],
    "properties": {
        "name": _NAME,
        "region": _NAME,
        "failure_domain": _NAME,
        "callers": _ADDRESS,
        "readiness": _ADDRESS,
        "peers": _ADDRESS,
        "metrics": _ADDRESS,
        "store": _ADDRESS,
        "log_format": {"enum": ["text", "json"]},
        "drain_limit_s": _SECONDS,
        "leave_limit_ms": {"type": "integer", "minimum": 1},
        "retry_ratio": {"type": "number", "minimum": 0},
        "retry_slack": {"type": "number", "minimum": 0},
        "retry_window_s": _SECONDS,
        "extra_attempts_share": {"type": "number", "minimum": 0, "maximum": 1},
        "extra_attempts_quantile": {
            "type": "number",
            "minimum": 0.5,
            "exclusiveMaximum": 1,
        },
        "cpu_share": _SECONDS,
        "link_mbps": _SECONDS,
        "account_shares": {"enum": ["off", "fair"]},
        **INGRESS_SCHEMA,
        "peer_secret": {"type": "string"},
        "stage_answer_times": {"type": "boolean"},
        "stage_memory_reuse": {"type": "boolean"},
        "target_load_reports": {"type": "boolean"},
        "result_locality": {"enum": ["off", "home"]},
        "tls_certificate": {"type": "string"},
        "tls_key": {"type": "string"},
        "tls_authority": {"type": "string"},
        "seed": {"type": "integer"},
        "seeds": {"type": "array", "items": _ADDRESS},
        "engine_placement": {"enum": [BY_TOKENS, BY_TIME]},
        "engine_memory_mb": {"type": "number", "minimum": 0},
        "engine_waste_weight": {"type": "number", "minimum": 0},
    },
}


class GatewaySettings:
    """Validated settings of a gateway; each key of ``SCHEMA`` is an attribute.

    Args:
        table (dict): A value for each key of ``SCHEMA``.
    """

    __slots__ = tuple(SCHEMA["properties"])

    def __init__(self, table):
        for name in self.__slots__:
            setattr(self, name, table[name])


def make_gateway_settings(table, source="settings"):
    """Validate a table, fill in the defaults and return `GatewaySettings`.

    Args:
        table (dict): The settings as written.
        source (str): Where they come from, for error messages.

    Raises:
        SettingsError: When a key is unknown or missing, or a value not allowed.
    """
    check_table(table, SCHEMA, source)
    return GatewaySettings({**DEFAULTS, **table})


def load_gateway_settings(path):
    """Read gateway settings from a TOML file.

    Raises:
        SettingsError: When the file cannot be read or its settings are not valid.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise SettingsError(str(path), "(file)", error.strerror) from error
    return make_gateway_settings(parse_toml(data, str(path)), str(path))


def find_settings_path(arguments):
    """Return the path of the settings file.

    Args:
        arguments (list of str): Command-line arguments. A single one is the path;
            without any, the environment variable ``PATH_VARIABLE`` names it.

    Raises:
        SettingsError: When there are several arguments, or neither is given.
    """
    if len(arguments) == 1:
        return arguments[0]
    path = os.environ.get(PATH_VARIABLE)
    if arguments or not path:
        raise SettingsError(
            "(command line)",
            PATH_VARIABLE,
            "expected one settings file, as the argument or in this variable",
        )
    return path
