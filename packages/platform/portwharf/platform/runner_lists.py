# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks the runner's lists of running and ended attempts.

A malformed list is an error. It must not be read as an empty one, which
would mean that nothing runs.
"""

from portwharf.platform import json_fields

# Ended attempts that the runner lists at once. It lists the others after
# these are acknowledged.
MAX_ENDED_ROWS = 500


def check_lists(value):
    """Check the body of a response to ``hold``.

    On the wire ``run`` is an attempt's number, ``saved`` its checkpoint and
    ``how`` the way in which it ended.

    :raises ValueError: a list is missing, or a row is malformed
    """
    json_fields.read_int(value, 'clockMs', 0, None)
    for row in json_fields.read_list(value, 'running', list, None):
        _check_running(*_pad_row(row, 5))
    for row in json_fields.read_list(value, 'ended', list, None):
        _check_ended(*_pad_row(row, 5))


def _pad_row(row, size):
    """Return ``size`` items of a row; a missing last one becomes 0."""
    if len(row) < size - 1:
        raise ValueError(f'a row has {len(row)} items: {row!r:.60}')
    return row[:size] if len(row) >= size else [*row, 0]


def _check_running(task, run, saved, percent, measurement):
    _require(isinstance(task, str) and isinstance(saved, str), task)
    _require(_is_number(run) and _is_number(percent), task)
    _require(_is_number(measurement), task)


def _check_ended(number, task, run, how, saved):
    _require(_is_number(number) and _is_number(run), task)
    _require(isinstance(task, str) and isinstance(how, str), task)
    _require(isinstance(saved, str), task)


def _is_number(item):
    return isinstance(item, int | float) and not isinstance(item, bool)


def _require(condition, task):
    if not condition:
        raise ValueError(f'the row of task {task!r:.60} has a wrong type')
