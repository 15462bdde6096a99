# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Typed fields of JSON maps that somebody else wrote.

What is of another type or out of range is refused where it comes in, and its
field is named. Taken in, it would end the thread that first compares it; or,
once it is in the log, each process that reads the log.
"""

import math

# JSON numbers beyond this are not exact everywhere.
MOST_WHOLE = 2**53


def read_whole(value, name, least=0, default=0):
    """Return a whole number; a fraction is cut off.

    :param default: if the field is left out; None if it must not be
    :raises ValueError: it is none, or out of range
    """
    item = _get(value, name, default)
    number = not isinstance(item, bool) and isinstance(item, int | float)
    if not number or not math.isfinite(item):
        raise ValueError(f'"{name}" is {_show(item)} and not a number')
    if not least <= item <= MOST_WHOLE:
        raise ValueError(f'"{name}" is {item}, not {least} to {MOST_WHOLE}')
    return int(item)


def read_share(value, name, default):
    """Return a number of 0 or more, that may be a fraction.

    :raises ValueError: it is none
    """
    item = _get(value, name, default)
    number = not isinstance(item, bool) and isinstance(item, int | float)
    if not number or not math.isfinite(item) or item < 0:
        raise ValueError(f'"{name}" is {_show(item)} and not 0 or more')
    return float(item)


def read_text(value, name, default=''):
    """Return a text; None as ``default`` has it asked for.

    :raises ValueError: it is none, or cannot be written as UTF-8
    """
    item = _get(value, name, default)
    if not isinstance(item, str):
        raise ValueError(f'"{name}" is {_show(item)} and not a text')
    item.encode()
    return item


def read_flag(value, name):
    """Return whether a field is true; left out it is not.

    :raises ValueError: it is neither true nor false
    """
    item = _get(value, name, False)
    if not isinstance(item, bool):
        raise ValueError(f'"{name}" is {_show(item)}, not true or false')
    return item


def read_map(value, name):
    """Return a map, an empty one if it is left out.

    :raises ValueError: it is none
    """
    item = _get(value, name, {})
    if not isinstance(item, dict):
        raise ValueError(f'"{name}" is {_show(item)} and not a map')
    return item


def read_list(value, name, cls, default=()):
    """Return a list whose items are of one type.

    :param default: if the field is left out; None if it must not be
    :raises ValueError: it is none, or an item is of another type
    """
    items = _get(value, name, default)
    if not isinstance(items, list | tuple):
        raise ValueError(f'"{name}" is {_show(items)} and not a list')
    for item in items:
        if not isinstance(item, cls) or isinstance(item, bool):
            text = f'"{name}" has {_show(item)}, not a {cls.__name__}'
            raise ValueError(text)
    return list(items)


def _get(value, name, default):
    """Return a field; one that is null counts as left out."""
    item = value.get(name)
    if item is None:
        item = default
    if item is None:
        raise ValueError(f'"{name}" is missing')
    return item


def _show(item):
    """Return a value for people, cut short."""
    return f'{item!r:.40}'
