"""Typed access to the fields of decoded JSON."""

import json

from firworks.errors import CodecError


def parse_object(data):
    """Return the JSON object held in bytes.

    Raises:
        CodecError: When the bytes are not one JSON object.
    """
    try:
        table = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise CodecError(f"not JSON: {error}") from error
    if not isinstance(table, dict):
        raise CodecError("not a JSON object")
    return table


def get_string(table, name):
    """Return a text field.

    Raises:
        CodecError: When it is missing or not a text.
    """
    value = table.get(name)
    if not isinstance(value, str):
        raise CodecError(f"{name}: {value!r} is not a text")
    return value


def get_number(table, name, default=None):
    """Return a numeric field, or the default when it is missing.

    Raises:
        CodecError: When it is missing without a default, or not a number.
    """
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise CodecError(f"{name}: {value!r} is not a number")
    return value


def get_list(table, name):
    """Return a list field; an empty list when it is missing.

    Raises:
        CodecError: When it is not a list.
    """
    value = table.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise CodecError(f"{name}: {value!r} is not a list")
    return value


def get_object(table, name):
    """Return a nested object, or None when it is missing.

    Raises:
        CodecError: When it is not an object.
    """
    value = table.get(name)
    if value is not None and not isinstance(value, dict):
        raise CodecError(f"{name}: {value!r} is not an object")
    return value
