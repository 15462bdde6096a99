# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ids stand on the line in both styles; a failed thread ends all."""

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
logs.end_on_crash()
thread = threading.Thread(target=lambda: 1 / 0)
thread.start()
thread.join()
threading.Event().wait(30)
"""


def write_line(case, style):
    """Return what a style prints for one line with ids."""
    root = logging.getLogger()
    kept = list(root.handlers), root.level
    text = io.StringIO()
    try:
        with contextlib.redirect_stderr(text):
            logs.set_up(style, 'INFO')
            extra = logs.fields(task='0-a.1', attempt=2)
            logging.getLogger('x').info('hello', extra=extra)
    finally:
        root.handlers[:], level = kept
        root.setLevel(level)
    return text.getvalue()


def test_json_line_has_ids_as_fields(case):
    line = json.loads(write_line(case, 'json'))
    case.assertEqual(line['message'], 'hello')
    case.assertEqual((line['task'], line['attempt']), ('0-a.1', 2))


def test_text_line_ends_with_ids(case):
    line = write_line(case, 'text')
    case.assertTrue(line.endswith('hello task=0-a.1 attempt=2\n'), line)


def test_unknown_field_is_refused(case):
    with case.assertRaisesRegex(ValueError, 'tsk'):
        logs.fields(tsk=1)


def test_failed_thread_ends_the_process(case):
    done = subprocess.run(
        [sys.executable, '-c', CRASH], capture_output=True, check=False
    )
    case.assertEqual(done.returncode, logs.CRASH_EXIT)
    case.assertIn(b'ZeroDivisionError', done.stderr)


class Stuck:
    """A stream that nobody reads until it is let go."""

    def __init__(self):
        self.go = threading.Event()
        self.written = []

    def write(self, text):
        """Block as a full pipe does."""
        self.go.wait(20)
        self.written.append(text)

    def flush(self):
        """Nothing is kept back."""


def test_reader_that_has_stopped_holds_nobody_up(case):
    stuck = Stuck()
    printer = logs.Printer(stuck, 3)
    for number in range(50):
        printer.write(f'{number}\n')
    stuck.go.set()
    printer.wait_until_printed(20)
    case.assertIn('lines were dropped', ''.join(stuck.written))
    case.assertLess(len(stuck.written), 10)
