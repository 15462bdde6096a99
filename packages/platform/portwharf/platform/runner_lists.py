# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads the runner's lists of running and ended attempts.

A missing list is an error. It must not be read as an empty one, which would
mean that nothing runs. An odd row costs itself alone: what cannot be one of
our attempts is passed over, and an odd measurement or checkpoint of one that
can be is left out. If a running row names one of our tasks but no attempt,
nothing is known of that task, so the whole list is refused.
"""

from portwharf.core import json_input
from portwharf.platform import json_fields
from portwharf.platform import unreadable

# Ended attempts that the runner lists at once. It lists the others after
# these are acknowledged.
MAX_ENDED_ROWS = 500
# Numbers of ended attempts rise by one from 1 in each life of a runner. Once
# acknowledged, a higher one would hide all that follow.
MAX_END_NUMBER = 2**40
MAX_TASK_CHARS = 200
# A longer checkpoint is left out, as each goes into the log.
MAX_SAVED_CHARS = 4000
MAX_HOW_CHARS = 40
_ROW_SIZE = 5
_UNREADABLE = unreadable.UnreadableInput('row')


def read_lists(value, is_known):
    """Return the body of a response to ``hold`` with checked lists.

    On the wire ``run`` is an attempt's number, ``saved`` its checkpoint and
    ``how`` the way in which it ended. Each row of the result has five items.

    :param is_known: function of a task's id that tells whether one of its
        attempts was started here
    :raises ValueError: a list is missing, or what it says of one of our tasks
        cannot be read
    """
    json_fields.read_int(value, 'clockMs', 0, None)
    running, ended = (_read_list(value, one) for one in ('running', 'ended'))
    rows = [_read_row(row, _read_running) for row in running]
    for row, read in zip(running, rows, strict=True):
        if read is None and _names_task(row, is_known):
            raise ValueError(f'no attempt of task {row[0]!r:.60} is told')
    return {
        **value,
        'running': [row for row in rows if row is not None],
        'ended': [
            row
            for row in (_read_row(row, _read_ended) for row in ended)
            if row is not None
        ],
    }


def _read_list(value, name):
    """Return a list, whose rows may be of any type.

    :raises ValueError: it is missing, or not a list
    """
    rows = value.get(name)
    if not isinstance(rows, list):
        raise ValueError(f'"{name}" is no list')
    return rows


def _read_row(row, read):
    """Return a checked row, or None if it is passed over."""
    try:
        if not isinstance(row, list) or len(row) < _ROW_SIZE - 1:
            raise ValueError('a row is no list of that many items')
        return read(*row[:_ROW_SIZE])
    except json_input.DECODE_ERRORS as exc:
        _UNREADABLE.record(exc)
        return None


def _names_task(row, is_known):
    """Return whether a row that is passed over names one of our tasks."""
    is_named = isinstance(row, list) and row and isinstance(row[0], str)
    return is_named and is_known(row[0])


def _read_running(task, run, saved, percent, measurement=0):
    return [
        _read_text(task, MAX_TASK_CHARS),
        _read_number(run, 1),
        _read_optional(saved, '', _read_text, MAX_SAVED_CHARS),
        _read_optional(percent, 0, _read_number),
        _read_optional(measurement, 0, _read_number),
    ]


def _read_ended(number, task, run, how, saved=''):
    return [
        _read_number(number, 1, MAX_END_NUMBER),
        _read_text(task, MAX_TASK_CHARS),
        _read_number(run, 1),
        _read_optional(how, '', _read_text, MAX_HOW_CHARS),
        _read_optional(saved, '', _read_text, MAX_SAVED_CHARS),
    ]


def _read_optional(item, default, read, *limits):
    """Return an item that an attempt can do without, or its default."""
    try:
        return read(item, *limits)
    except ValueError as exc:
        _UNREADABLE.record(exc)
        return default


def _read_number(item, least=0, most=json_fields.MAX_EXACT_INT):
    """Return an integer; a fraction is truncated.

    :raises ValueError: not a number, or out of range
    """
    if not json_fields.is_number(item) or not least <= item <= most:
        raise ValueError(f'an item is not a number from {least} to {most}')
    return int(item)


def _read_text(item, most):
    """Return a string that can be logged.

    :raises ValueError: not a string, too long, or not encodable as UTF-8
    """
    if not isinstance(item, str) or len(item) > most:
        raise ValueError(f'an item is not a text of at most {most} characters')
    item.encode()
    return item
