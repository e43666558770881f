"""Reads TOML and checks it against a JSON schema, with errors that name the place."""

import tomllib

from jsonschema import Draft202012Validator

from firworks.errors import SettingsError


def parse_toml(data, source):
    """Return the table held in TOML bytes.

    Raises:
        SettingsError: When the bytes are not UTF-8 or not TOML.
    """
    try:
        return tomllib.loads(data.decode("utf-8"))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(source, "(file)", str(error)) from error


def check_table(table, schema, source):
    """Check a table against a JSON schema.

    Raises:
        SettingsError: For the first violation in key order.
    """
    validator = Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(table), key=lambda e: list(map(str, e.path)))
    if errors:
        error = errors[0]
        path = ".".join(str(part) for part in error.path) or "(top)"
        raise SettingsError(source, path, _describe(error))


def _describe(error):
    if error.validator == "additionalProperties":
        allowed = ", ".join(sorted(error.schema.get("properties", {})))
        return f"{error.message}; allowed keys: {allowed}"
    if error.validator == "enum":
        allowed = ", ".join(repr(value) for value in error.validator_value)
        return f"{error.instance!r} is not allowed; allowed: {allowed}"
    return f"{error.message} ({error.validator}: {error.validator_value!r})"
