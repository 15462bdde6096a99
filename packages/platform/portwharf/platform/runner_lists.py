# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a runner lists, checked before anything is concluded from it.

A list that cannot be read says nothing, and surely not that nothing runs.
"""

from portwharf.platform import fields


def check_lists(value):
    """Check an answer to ``hold``.

    :raises ValueError: it has no such lists, or a row of another shape
    """
    fields.read_whole(value, 'clockMs', 0, None)
    for row in fields.read_list(value, 'running', list, None):
        _check_running(*_pad(row, 5))
    for row in fields.read_list(value, 'ended', list, None):
        _check_ended(*_pad(row, 5))


def _pad(row, size):
    """Return a row's first items; one is too short without four."""
    if len(row) < size - 1:
        raise ValueError(f'a row of {len(row)}: {row!r:.60}')
    return row[:size] if len(row) >= size else [*row, 0]


def _check_running(task, run, saved, percent, figure):
    _check(isinstance(task, str) and isinstance(saved, str), task)
    _check(_is_number(run) and _is_number(percent), task)
    _check(_is_number(figure), task)


def _check_ended(number, task, run, how, saved):
    _check(_is_number(number) and _is_number(run), task)
    _check(isinstance(task, str) and isinstance(how, str), task)
    _check(isinstance(saved, str), task)


def _is_number(item):
    return isinstance(item, int | float) and not isinstance(item, bool)


def _check(holds, task):
    if not holds:
        raise ValueError(f'a row of {task!r:.60} is not of its types')
