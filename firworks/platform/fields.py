"""Type-checked access to the fields of decoded JSON objects."""

import json

from firworks.decoding import (
    MAX_INTEGER,
    MAX_NUMBER,
    check_integer,
    check_number,
    check_text,
    describe_value,
)
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
    return check_text(fields.get(name), name)


def get_number(fields, name, default=None, maximum=MAX_NUMBER):
    """Return a non-negative numeric field, or the default if it is missing.

    Raises:
        CodecError: When it is missing without a default, not a number, negative or
            over the maximum.
    """
    return check_number(fields.get(name, default), name, maximum=maximum)


def get_integer(fields, name, default=None, maximum=MAX_INTEGER):
    """Return a non-negative integer field, or the default if it is missing.

    Raises:
        CodecError: When it is missing without a default, not an integer, negative or
            over the maximum.
    """
    return check_integer(fields.get(name, default), name, maximum=maximum)


def get_list(fields, name):
    """Return a list field, or an empty list if it is missing or null.

    Raises:
        CodecError: When it is not a list.
    """
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise CodecError(f"{name}: {describe_value(value)} is not a list")
    return value


def get_objects(fields, name):
    """Return a list field whose items are objects; see `get_list`.

    Raises:
        CodecError: When it is not a list of objects.
    """
    rows = get_list(fields, name)
    for row in rows:
        if not isinstance(row, dict):
            raise CodecError(f"{name}: {describe_value(row)} is not an object")
    return rows


def get_object(fields, name):
    """Return a nested object, or None if it is missing or null.

    Raises:
        CodecError: When it is not an object.
    """
    value = fields.get(name)
    if value is not None and not isinstance(value, dict):
        raise CodecError(f"{name}: {describe_value(value)} is not an object")
    return value
