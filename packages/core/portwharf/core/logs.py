# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Structured logs, as JSON lines or as text.

``extra=logs.fields(task=..., attempt=...)`` adds fields to a log line in
both formats. VMs have no disk, so logs go to a standard stream that the
platform collects. Long-running programs write through
:class:`NonBlockingStream`, so that a reader that has stopped does not block
them.
"""

import logging
import os
import queue
import sys
import threading

from pythonjsonlogger import json as jsonlogger

LOG = logging.getLogger(__name__)

CRASH_EXIT_STATUS = 70
# Time limit for writing the last lines of the log.
FLUSH_SECONDS = 0.2
# Holds a few seconds of a busy owner's log.
MAX_QUEUED_LINES = 5000
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
    'job_bytes',
    'life',
    'ran_ms',
    'listed_ms',
    'born_ms',
    'acked',
    'zones',
    'tasks',
    'due_ms',
    'run_ms',
    'paced_ms',
    'gap_ms',
    'used_milli',
    'items',
    'events',
    'parts_ms',
    'throttled',
    'least',
    'latest',
    'asked_milli',
    'tail_percent',
    'polls',
    'unmet_milli',
    'headroom_percent',
    'paced_by',
    'worked_ms',
    'limit_ms',
    'pool',
    'good',
    'poor',
    'stalled',
    'ahead_cpu_ms',
    'rate_milli',
    'end_in_ms',
    'retry_ms',
    'silence_ms',
    'members',
    'is_member',
    'hearing',
    'not_hearing',
    'unheard',
    'voters',
    'waited_ms',
)
_TEXT_FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'
_JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class _TextFormatter(logging.Formatter):
    """Formats text lines with the given fields appended as name=value."""

    def format(self, record):
        line = super().format(record)
        for name in FIELD_NAMES:
            value = record.__dict__.get(name)
            if value is not None:
                line = f'{line} {name}={value}'
        return line


def fields(**values):
    """Return log fields in the form that ``extra`` takes.

    :raises ValueError: a name is not one of ``FIELD_NAMES``
    """
    unknown = set(values) - set(FIELD_NAMES)
    if unknown:
        raise ValueError(f'unknown log fields: {sorted(unknown)}')
    return values


def exit_on_thread_exception():
    """Make an uncaught exception in any thread terminate the process.

    An uncaught exception means that an invariant is broken. Without the
    thread the process would appear healthy but do no work; the platform
    restarts it.
    """

    def handle(args):
        exc_info = (args.exc_type, args.exc_value, args.exc_traceback)
        LOG.critical('thread %s failed', args.thread, exc_info=exc_info)
        exit_process(CRASH_EXIT_STATUS)

    threading.excepthook = handle


def exit_process(status):
    """Exit without waiting for other threads, once the log is written."""
    logging.shutdown()
    for handler in logging.getLogger().handlers:
        stream = getattr(handler, 'stream', None)
        if isinstance(stream, NonBlockingStream):
            stream.flush_queue(FLUSH_SECONDS)
    os._exit(status)


class NonBlockingStream:
    """A stream whose ``write`` never blocks.

    A background thread writes queued lines to the underlying stream. Lines
    that do not fit into the queue are dropped and counted; the count is
    written with the next line that succeeds.
    """

    def __init__(self, stream, max_lines=MAX_QUEUED_LINES):
        """Start the thread that writes to ``stream``.

        :param max_lines: capacity of the queue
        """
        self._stream = stream
        self._lines = queue.Queue(max_lines)
        self._dropped_count = 0
        threading.Thread(
            target=self._write_queued, name='printer', daemon=True
        ).start()

    def write(self, text):
        """Queue text to be written, or drop it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped_count += 1

    def flush(self):
        """Do nothing; the background thread flushes after each line."""

    def flush_queue(self, seconds):
        """Wait until all queued lines are written.

        :param seconds: timeout for queueing and again for writing
        """
        printed = threading.Event()
        try:
            self._lines.put(printed, timeout=seconds)
        except queue.Full:
            return
        printed.wait(seconds)

    def _write_queued(self):
        while True:
            text = self._lines.get()
            if isinstance(text, threading.Event):
                text.set()
                continue
            if self._dropped_count:
                dropped, self._dropped_count = self._dropped_count, 0
                text += f'{{"message": "{dropped} lines were dropped"}}\n'
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The failed line is reported with the dropped ones.
                self._dropped_count += 1


def set_up(style, level, stream=None):
    """Configure the root logger to write to a stream.

    :param style: ``json`` or ``text``
    :param level: name of the lowest level that is logged, as in ``INFO``
    :param stream: where to write, or None for standard error
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
