"""Parses TOML and validates it against a JSON schema; errors name the key path."""

import math
import tomllib

from jsonschema import Draft202012Validator
from jsonschema.validators import extend

from firworks.errors import SettingsError

MAX_NESTING = 32
MAX_SHOWN_CHARS = 200
SECRET_KEY_WORDS = ("secret", "token")


def _is_finite_number(checker, value):
    return type(value) is int or (type(value) is float and math.isfinite(value))


def _is_integer(checker, value):
    return type(value) is int


# JSON schema would accept TOML's nan and inf as numbers, and 8.0 as an integer.
_TYPES = Draft202012Validator.TYPE_CHECKER.redefine_many(
    {"number": _is_finite_number, "integer": _is_integer}
)
_Validator = extend(Draft202012Validator, type_checker=_TYPES)


def parse_toml(data, source):
    """Return the table (dict) parsed from TOML bytes.

    Raises:
        SettingsError: When the bytes are not UTF-8 or not TOML, or nested deeper than
            ``MAX_NESTING``.
    """
    nesting_error = SettingsError(
        source, "(file)", f"nested deeper than {MAX_NESTING} levels"
    )
    try:
        table = tomllib.loads(data.decode("utf-8"))
    except ValueError as error:  # also raised for integers with too many digits
        raise SettingsError(source, "(file)", str(error)) from error
    except RecursionError as error:
        raise nesting_error from error
    if is_nested_deeper(table, MAX_NESTING):
        raise nesting_error
    return table


def is_nested_deeper(value, limit):
    """Return whether tables and arrays are nested more than `limit` deep.

    Iterative, so that the result does not depend on the caller's stack depth.
    """
    layer = [value]
    for _ in range(limit + 1):
        inner = []
        for item in layer:
            children = item.values() if isinstance(item, dict) else item
            inner += [child for child in children if isinstance(child, dict | list)]
        if not inner:
            return False
        layer = inner
    return True


def check_table(table, schema, source):
    """Validate a table against a JSON schema.

    Raises:
        SettingsError: For the first violation in order of key paths.
    """
    validator = _Validator(schema)
    errors = sorted(validator.iter_errors(table), key=lambda e: list(map(str, e.path)))
    if errors:
        error = errors[0]
        path = ".".join(str(part) for part in error.path) or "(top)"
        raise SettingsError(source, path, _describe(error, path))


def _describe(error, path):
    """Return the invalid value and the rule that it violates, without secrets."""
    if error.validator == "additionalProperties":
        allowed = ", ".join(sorted(error.schema.get("properties", {})))
        return f"{_shorten(error.message)}; allowed keys: {allowed}"
    if error.validator == "required":
        required = ", ".join(error.validator_value)
        return f"{_shorten(error.message)}; allowed: with all of {required}"
    value = _show(error.instance, path)
    if error.validator == "enum":
        allowed = ", ".join(repr(item) for item in error.validator_value)
        return f"{value} is not allowed; allowed: {allowed}"
    rule = _RULES.get(error.validator, error.validator)
    return f"{value} is not allowed; allowed: {rule} {error.validator_value!r}"


_RULES = {
    "type": "of type",
    "const": "only",
    "pattern": "text that matches",
    "minimum": "at least",
    "maximum": "at most",
    "exclusiveMinimum": "more than",
    "exclusiveMaximum": "less than",
    "minLength": "length at least",
    "maxLength": "length at most",
    "minItems": "number of items at least",
    "maxItems": "number of items at most",
    "maxProperties": "number of keys at most",
    "uniqueItems": "items that differ:",
}


def _show(value, path):
    key = path.rpartition(".")[2]
    if any(word in key or f"{word}_" in path for word in SECRET_KEY_WORDS):
        return f"a value of type {type(value).__name__}"
    return _shorten(repr(value))


def _shorten(text):
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
