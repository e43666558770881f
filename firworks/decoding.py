"""Checked decoding of numbers and texts that come from outside the process.

JSON and CBOR know numbers that no float or counter holds: 1e999 is read as infinity,
an integer may have hundreds of digits, and reading one of thousands raises. A text may
hold lone surrogates, which cannot be encoded again.
"""

from re import ASCII
from re import compile as compile_pattern
from reprlib import Repr

from firworks.errors import CodecError

# Integers that fit into 64 bits, as in the records that daemons exchange.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
# Default range of numbers: larger than any count, size or time in use.
MAX_NUMBER = 1e15
# Digits of a decimal integer in a header.
MAX_DIGITS = 18
# Characters of a decimal number in a header; a float needs no more than 24.
MAX_DECIMAL_CHARACTERS = 64
# No character can match in two ways, so that a text that does not match is given up in
# linear time.
_DECIMAL = compile_pattern(r"\s*\+?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?\s*", ASCII)

_shortener = Repr()
_shortener.maxlevel = 3


def describe_value(value):
    """Return a short text (str) that describes a value for logs."""
    try:
        return _shortener.repr(value)
    except (ValueError, RecursionError):
        # An integer of thousands of digits.
        return f"an odd {type(value).__name__}"


def check_number(value, name, minimum=0.0, maximum=MAX_NUMBER):
    """Return a number that was decoded from outside data.

    Args:
        value (object): The decoded value.
        name (str): Name of its field, for the error.
        minimum (float): Least valid value.
        maximum (float): Greatest valid value.

    Raises:
        CodecError: When it is not a number, not finite or outside of the range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise CodecError(f"{name}: {describe_value(value)} is not a number")
    if not minimum <= value <= maximum:
        described = describe_value(value)
        raise CodecError(f"{name}: {described} is not within {minimum} and {maximum}")
    return value


def check_integer(value, name, minimum=0, maximum=MAX_INTEGER):
    """Return an integer that was decoded from outside data; see `check_number`.

    Raises:
        CodecError: When it is not an integer or outside of the range.
    """
    if type(value) is not int:
        raise CodecError(f"{name}: {describe_value(value)} is not an integer")
    return check_number(value, name, minimum, maximum)


def check_text(value, name):
    """Return a text that was decoded from outside data.

    Raises:
        CodecError: When it is not a string, or cannot be encoded as UTF-8.
    """
    if not isinstance(value, str):
        raise CodecError(f"{name}: {describe_value(value)} is not a string")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise CodecError(f"{name}: not encodable: {error.reason}") from error
    return value


def parse_integer(text, name, maximum=MAX_INTEGER):
    """Return the integer that a text of ASCII digits states.

    Args:
        text (str): The text; blanks around it are ignored.
        name (str): Name of its field, for the error.
        maximum (int): Greatest valid value.

    Raises:
        CodecError: When it is not a non-negative integer, or too large.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()) or len(digits) > MAX_DIGITS:
        raise CodecError(f"{name}: {describe_value(text)} is not an integer")
    return check_integer(int(digits), name, maximum=maximum)


def parse_decimal(text):
    """Return the non-negative number (float) that a text states, or None.

    Args:
        text (str): Decimal digits with an optional point and exponent; blanks around
            them are ignored. One that no float holds is infinite.
    """
    if len(text) > MAX_DECIMAL_CHARACTERS or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
