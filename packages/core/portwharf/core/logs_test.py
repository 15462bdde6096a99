# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Log fields are written in both styles; a failed thread exits."""

import contextlib
import io
import json
import logging
import subprocess
import sys
import threading

from portwharf.core import logs

CRASH = """
from portwharf.core import logs
import threading
logs.set_up('text', 'INFO')
logs.exit_on_thread_exception()
thread = threading.Thread(target=lambda: 1 / 0)
thread.start()
thread.join()
threading.Event().wait(30)
"""

QUEUED = """
import sys
import threading
from portwharf.core import logs
from portwharf.core import shutdown
logs.set_up('json', 'INFO', logs.NonBlockingStream(sys.stdout))
logs.exit_on_thread_exception()
if 'hangs' in sys.argv:
    shutdown.exit_after(0.1)
else:
    threading.Thread(target=lambda: 1 / 0).start()
threading.Event().wait(30)
"""


def write_line(case, style):
    """Return the output of a style for one line with fields."""
    root = logging.getLogger()
    saved = list(root.handlers), root.level
    text = io.StringIO()
    try:
        with contextlib.redirect_stderr(text):
            logs.set_up(style, 'INFO')
            extra = logs.fields(task='0-a.1', attempt=2)
            logging.getLogger('x').info('hello', extra=extra)
    finally:
        root.handlers[:], level = saved
        root.setLevel(level)
    return text.getvalue()


def test_json_line_contains_the_fields(case):
    line = json.loads(write_line(case, 'json'))
    case.assertEqual(line['message'], 'hello')
    case.assertEqual((line['task'], line['attempt']), ('0-a.1', 2))


def test_text_line_ends_with_the_fields(case):
    line = write_line(case, 'text')
    case.assertTrue(line.endswith('hello task=0-a.1 attempt=2\n'), line)


def test_unknown_field_is_refused(case):
    with case.assertRaisesRegex(ValueError, 'tsk'):
        logs.fields(tsk=1)


def test_failed_thread_ends_the_process(case):
    done = subprocess.run(
        [sys.executable, '-c', CRASH], capture_output=True, check=False
    )
    case.assertEqual(done.returncode, logs.CRASH_EXIT_STATUS)
    case.assertIn(b'ZeroDivisionError', done.stderr)


def test_reason_of_an_exit_is_not_lost_in_the_queue(case):
    for name, reason in (
        ('fails', b'ZeroDivisionError'),
        ('hangs', b'shutdown timed out'),
    ):
        argv = [sys.executable, '-c', QUEUED, name]
        done = subprocess.run(argv, capture_output=True, check=False)
        case.assertIn(reason, done.stdout)


class BlockedStream:
    """A stream whose ``write`` blocks until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.written = []

    def write(self, text):
        """Block as a full pipe does."""
        self.released.wait(20)
        self.written.append(text)

    def flush(self):
        """Do nothing; writes are not buffered."""


def test_blocked_stream_does_not_block_the_writer(case):
    stream = BlockedStream()
    printer = logs.NonBlockingStream(stream, 3)
    for number in range(50):
        printer.write(f'{number}\n')
    stream.released.set()
    printer.flush_queue(20)
    case.assertIn('lines were dropped', ''.join(stream.written))
    case.assertLess(len(stream.written), 10)
