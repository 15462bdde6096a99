# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Structured logs on standard error, as JSON lines or as text.

Ids go on the line by ``extra=logs.fields(task=..., attempt=...)``; both
formats print them. Standard error is the platform's to collect: a VM of
ours has no disk.
"""

import logging
import os
import sys
import threading

from pythonjsonlogger import json as jsonlogger

LOG = logging.getLogger(__name__)

CRASH_EXIT = 70
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


def end_on_crash():
    """End the process when one of its threads fails.

    A thread ends by an exception only when an invariant is broken; a
    process that went on without it would look alive and do nothing. The
    platform starts it again.
    """

    def handle(crash):
        error = (crash.exc_type, crash.exc_value, crash.exc_traceback)
        LOG.critical('thread %s failed', crash.thread, exc_info=error)
        logging.shutdown()
        os._exit(CRASH_EXIT)

    threading.excepthook = handle


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
