"""Type-checked access to the fields of decoded JSON objects."""

import json

from firworks.errors import CodecError


def parse_object(data):
    """Return the JSON object encoded in bytes.

    Raises:
        CodecError: When the bytes are not valid JSON or not an object.
    """
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise CodecError(f"invalid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise CodecError(f"not a JSON object but a {type(fields).__name__}")
    return fields


def get_string(fields, name):
    """Return a string field.

    Raises:
        CodecError: When it is missing or not a string.
    """
    value = fields.get(name)
    if not isinstance(value, str):
        raise CodecError(f"{name}: {value!r} is not a string")
    return value


def get_number(fields, name, default=None):
    """Return a numeric field, or the default if it is missing.

    Raises:
        CodecError: When it is missing without a default, or not a number.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise CodecError(f"{name}: {value!r} is not a number")
    return value


def get_list(fields, name):
    """Return a list field, or an empty list if it is missing or null.

    Raises:
        CodecError: When it is not a list.
    """
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise CodecError(f"{name}: {value!r} is not a list")
    return value


def get_object(fields, name):
    """Return a nested object, or None if it is missing or null.

    Raises:
        CodecError: When it is not an object.
    """
    value = fields.get(name)
    if value is not None and not isinstance(value, dict):
        raise CodecError(f"{name}: {value!r} is not an object")
    return value
