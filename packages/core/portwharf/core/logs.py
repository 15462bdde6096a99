# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Structured logs, as JSON lines or as text.

Ids go on the line by ``extra=logs.fields(task=..., attempt=...)``; both
formats print them. The platform collects what a process prints: a VM of
ours has no disk. A reader that has stopped must not hold the process up, so
that long-running programs print by :class:`Printer`, which drops lines that
it cannot get rid of, and says how many.
"""

import logging
import os
import queue
import sys
import threading

from pythonjsonlogger import json as jsonlogger

LOG = logging.getLogger(__name__)

CRASH_EXIT = 70
# Lines that may wait to be printed: some seconds of a busy owner's.
MAX_LINES = 5000
FIELD_NAMES = (
    'request',
    'workload',
    'task',
    'attempt',
    'vm',
    'shard',
    'epoch',
    'peer',
    'queue',
    'state',
    'status',
    'reason',
    'count',
    'revision',
    'took_ms',
    'percent',
    'tail_ms',
    'target_ms',
    'strangers',
    'bytes',
    'life',
    'ran_ms',
    'born_ms',
    'acked',
    'zones',
    'tasks',
    'due_ms',
    'run_ms',
    'paced_ms',
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


class Printer:
    """A stream whose writing never blocks; a thread does the printing."""

    def __init__(self, stream, most=MAX_LINES):
        """Take the stream and how many lines may wait for it."""
        self._stream = stream
        self._lines = queue.Queue(most)
        self._dropped = 0
        threading.Thread(
            target=self._print_all, name='printer', daemon=True
        ).start()

    def write(self, text):
        """Print some text soon, or drop it."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1

    def flush(self):
        """Nothing waits here for more to come."""

    def wait_until_printed(self, seconds):
        """Give what waits some seconds to be printed."""
        printed = threading.Event()
        try:
            self._lines.put(printed, timeout=seconds)
        except queue.Full:
            return
        printed.wait(seconds)

    def _print_all(self):
        while True:
            text = self._lines.get()
            if isinstance(text, threading.Event):
                text.set()
                continue
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                text += f'{{"message": "{dropped} lines were dropped"}}\n'
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads: the count of dropped lines tells later.
                self._dropped += 1


def set_up(style, level, stream=None):
    """Send all logs to a stream, standard error if none is given.

    :param style: ``json`` or ``text``
    :param level: a level's name, as in ``INFO``
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if style == 'json':
        handler.setFormatter(jsonlogger.JsonFormatter(_JSON_FORMAT))
    else:
        handler.setFormatter(_TextFormatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
