# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads typed fields of JSON objects that other programs have written.

A value of a wrong type or out of range is refused on input, with the name of
its field. If it got further, it would crash the thread that first uses it
or, once it is in the log, every process that reads the log.
"""

import math

# Larger integers are not exact in every JSON implementation.
MAX_EXACT_INT = 2**53


def is_number(item):
    """Return whether a value is a finite number, of any size."""
    if isinstance(item, float):
        return math.isfinite(item)
    return isinstance(item, int) and not isinstance(item, bool)


def read_int(value, name, minimum=0, default=0):
    """Return an integer; a fraction is truncated.

    :param default: used if the field is missing; None makes it required
    :raises ValueError: not a number, or out of range
    """
    item = _get_field(value, name, default)
    if not is_number(item):
        raise ValueError(f'"{name}" is {_format(item)}, not a number')
    if not minimum <= item <= MAX_EXACT_INT:
        raise ValueError(
            f'"{name}" is {_format(item)}, not {minimum} to {MAX_EXACT_INT}'
        )
    return int(item)


def read_float(value, name, default):
    """Return a number that is not negative, as a float.

    :raises ValueError: not a number, or out of range
    """
    item = _get_field(value, name, default)
    if not is_number(item) or not 0 <= item <= MAX_EXACT_INT:
        text = f'not a number from 0 to {MAX_EXACT_INT}'
        raise ValueError(f'"{name}" is {_format(item)}, {text}')
    return float(item)


def read_str(value, name, default=''):
    """Return a string.

    :param default: used if the field is missing; None makes it required
    :raises ValueError: not a string, or not encodable as UTF-8
    """
    item = _get_field(value, name, default)
    if not isinstance(item, str):
        raise ValueError(f'"{name}" is {_format(item)}, not a string')
    item.encode()
    return item


def read_bool(value, name):
    """Return a boolean, False if the field is missing.

    :raises ValueError: not a boolean
    """
    item = _get_field(value, name, False)
    if not isinstance(item, bool):
        raise ValueError(f'"{name}" is {_format(item)}, not true or false')
    return item


def read_dict(value, name):
    """Return an object as a dict, empty if the field is missing.

    :raises ValueError: not an object
    """
    item = _get_field(value, name, {})
    if not isinstance(item, dict):
        raise ValueError(f'"{name}" is {_format(item)}, not an object')
    return item


def read_list(value, name, cls, default=()):
    """Return a list whose items are all of type ``cls``.

    :param default: used if the field is missing; None makes it required
    :raises ValueError: not a list, or an item of another type
    """
    items = _get_field(value, name, default)
    if not isinstance(items, list | tuple):
        raise ValueError(f'"{name}" is {_format(items)}, not a list')
    for item in items:
        if not isinstance(item, cls) or isinstance(item, bool):
            text = f'"{name}" has {_format(item)}, not a {cls.__name__}'
            raise ValueError(text)
    return list(items)


def _get_field(value, name, default):
    """Return a field; null counts as missing."""
    item = value.get(name)
    if item is None:
        item = default
    if item is None:
        raise ValueError(f'"{name}" is missing')
    return item


def _format(item):
    """Return a value's representation, truncated for an error message."""
    try:
        return f'{item!r:.40}'
    except (ValueError, RecursionError):
        return 'a value that cannot be shown'
