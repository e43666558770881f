"""Settings of one process: schema, defaults and validation."""

import ipaddress
import os
from pathlib import Path

from firworks.checks import check_table, parse_toml
from firworks.errors import SettingsError
from firworks.ingress_settings import INGRESS_DEFAULTS, INGRESS_SCHEMA

_TEXT = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"}
_ADDRESS = {"type": "string", "pattern": r"^([0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}\Z"}
_URL = {"type": "string", "pattern": r"^https?://[0-9.]+:[0-9]+(/.*)?\Z"}
_SECONDS = {"type": "number", "exclusiveMinimum": 0}
_BYTES = {"type": "integer", "minimum": 1}

MAX_PORT = 65_535

DEFAULTS = {
    "environment": "production",
    "callers": "127.0.0.1:8080",
    "admin": "127.0.0.1:8081",
    "peers": "127.0.0.1:8082",
    "region": "region-1",
    "failure_domain": "fd-1",
    "peer_secret": "",
    "peer_secret_file": "",
    "admin_secret": "",
    "admin_secret_file": "",
    "tls_certificate": "",
    "tls_key": "",
    "tls_authority": "",
    "log_format": "text",
    "drain_timeout_s": 30.0,
    "body_limit_bytes": 1_048_576,
    "header_limit_bytes": 8_190,
    "body_timeout_s": 10.0,
    "idle_timeout_s": 2.0,
    "dedupe_window_s": 86_400.0,
    "clock_skew_s": 60.0,
    "ledger_streams": 4,
    "ledger_memory_limit_bytes": 67_108_864,
    "append_budget_per_s": 200.0,
    "log_retention_s": 604_800.0,
    **INGRESS_DEFAULTS,
    "seed": 0,
    "addresses": {},
}

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "log_url", "vms_url"],
    "properties": {
        "name": _TEXT,
        "log_url": _URL,
        "vms_url": _URL,
        "environment": {"enum": ["trial", "production"]},
        "callers": _ADDRESS,
        "admin": _ADDRESS,
        "peers": _ADDRESS,
        "region": _TEXT,
        "failure_domain": _TEXT,
        "peer_secret": {"type": "string"},
        "peer_secret_file": {"type": "string"},
        "admin_secret": {"type": "string"},
        "admin_secret_file": {"type": "string"},
        "tls_certificate": {"type": "string"},
        "tls_key": {"type": "string"},
        "tls_authority": {"type": "string"},
        "log_format": {"enum": ["text", "json"]},
        "drain_timeout_s": _SECONDS,
        "body_limit_bytes": _BYTES,
        "header_limit_bytes": _BYTES,
        "body_timeout_s": _SECONDS,
        "idle_timeout_s": _SECONDS,
        "dedupe_window_s": _SECONDS,
        "clock_skew_s": _SECONDS,
        "ledger_streams": {"type": "integer", "minimum": 1, "maximum": 64},
        "ledger_memory_limit_bytes": _BYTES,
        "append_budget_per_s": _SECONDS,
        "log_retention_s": _SECONDS,
        **INGRESS_SCHEMA,
        "seed": {"type": "integer"},
        "addresses": {"type": "object", "additionalProperties": _ADDRESS},
    },
}


class Settings:
    """Validated settings of one process; each key of ``SCHEMA`` is an attribute."""

    __slots__ = tuple(SCHEMA["properties"])

    def __init__(self, table):
        for name in self.__slots__:
            setattr(self, name, table[name])


def make_settings(table, source="settings"):
    """Validate a table, apply the defaults and return `Settings`.

    Secrets are read from their files or from the environment.

    Args:
        table (dict): The parsed TOML.
        source (str): Origin of the settings, for error messages.

    Raises:
        SettingsError: When a key is unknown, a value is not allowed or the file of a
            secret cannot be read.
    """
    check_table(table, SCHEMA, source)
    settings = Settings({**DEFAULTS, **table})
    _read_secret(settings, "peer_secret", source)
    _read_secret(settings, "admin_secret", source)
    _check_combinations(settings, source)
    return settings


def load_settings(path):
    """Read settings from a TOML file.

    Raises:
        SettingsError: When the file cannot be read or is not valid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(str(path), "(file)", error.strerror) from error
    return make_settings(parse_toml(data, str(path)), str(path))


def _read_secret(settings, name, source):
    """Read a secret from its file, or from the environment if not configured."""
    path = getattr(settings, f"{name}_file")
    if path:
        try:
            setattr(settings, name, Path(path).read_text().strip())
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(source, f"{name}_file", str(error)) from error
    if not getattr(settings, name):
        setattr(settings, name, os.environ.get(f"FIRWORKS_{name.upper()}", ""))


def _check_combinations(settings, source):
    _check_addresses(settings, source)
    if settings.dedupe_window_s + 3 * settings.clock_skew_s >= settings.log_retention_s:
        problem = (
            f"{settings.dedupe_window_s}; allowed: with 3 times clock_skew_s, below "
            f"log_retention_s ({settings.log_retention_s})"
        )
        raise SettingsError(source, "dedupe_window_s", problem)
    if bool(settings.tls_certificate) != bool(settings.tls_key):
        problem = "allowed: tls_certificate and tls_key together"
        raise SettingsError(source, "tls_certificate", problem)


def _check_addresses(settings, source):
    used = {}
    for name in ("callers", "admin", "peers"):
        address = getattr(settings, name)
        _check_address(address, name, source)
        if not address.endswith(":0") and address in used:
            problem = f"{address!r} is also {used[address]}; allowed: one listener each"
            raise SettingsError(source, name, problem)
        used[address] = name
    for target, address in settings.addresses.items():
        _check_address(address, f"addresses.{target}", source)


def _check_address(address, path, source):
    host, port = address.rsplit(":", 1)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise SettingsError(source, path, f"{address!r}: {error}") from error
    if int(port) > MAX_PORT:
        problem = f"{address!r}; allowed: ports up to {MAX_PORT}"
        raise SettingsError(source, path, problem)
