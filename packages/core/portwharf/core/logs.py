# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Structured logs on standard error, as JSON lines or as text.

Ids go on the line by ``extra=logs.fields(task=..., attempt=...)``; both
formats print them. Standard error is the platform's to collect: a VM of
ours has no disk.
"""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

FIELD_NAMES = (
    'request',
    'workload',
    'task',
    'attempt',
    'vm',
    'shard',
    'epoch',
    'peer',
)
_TEXT_FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'
_JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class _TextFormatter(logging.Formatter):
    """Text lines with the ids that were given, as name=value."""

    def format(self, record):
        line = super().format(record)
        for name in FIELD_NAMES:
            value = record.__dict__.get(name)
            if value is not None:
                line = f'{line} {name}={value}'
        return line


def fields(**values):
    """Return ids as what ``extra`` takes.

    :raises ValueError: a name that is not one of ``FIELD_NAMES``
    """
    unknown = set(values) - set(FIELD_NAMES)
    if unknown:
        raise ValueError(f'unknown log fields: {sorted(unknown)}')
    return values


def set_up(style, level):
    """Send all logs to standard error.

    :param style: ``json`` or ``text``
    :param level: a level's name, as in ``INFO``
    """
    handler = logging.StreamHandler(sys.stderr)
    if style == 'json':
        handler.setFormatter(jsonlogger.JsonFormatter(_JSON_FORMAT))
    else:
        handler.setFormatter(_TextFormatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
