# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stop is heard whichever thread the kernel gives the signal to."""

import signal
import subprocess
import sys

# Right after a pause the main thread is passed over most of the times.
ROUNDS = 8
PROGRAM = """
import signal
import threading
from portwharf.core import stops

asked = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: asked.set())
for _ in range(8):
    threading.Thread(target=threading.Event().wait, daemon=True).start()
print('ready', flush=True)
stops.wait_until_asked(asked)
print('asked', flush=True)
"""


def test_stop_that_comes_as_a_pause_ends_is_heard(case):
    for _ in range(ROUNDS):
        argv = [sys.executable, '-c', PROGRAM]
        with subprocess.Popen(argv, stdout=subprocess.PIPE) as program:
            case.addCleanup(program.kill)
            program.stdout.readline()
            program.send_signal(signal.SIGSTOP)
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGTERM)
            try:
                out, _ = program.communicate(timeout=5)
            except subprocess.TimeoutExpired:
                program.kill()
                case.fail('not heard')
        case.assertEqual(out, b'asked\n')


HANGING = """
import threading
from portwharf.core import stops

stops.end_within(0.1)
threading.Event().wait()
"""


def test_process_whose_end_waits_for_something_silent_ends_all_the_same(case):
    argv = [sys.executable, '-c', HANGING]
    with subprocess.Popen(argv) as program:
        case.addCleanup(program.kill)
        case.assertEqual(program.wait(20), 0)
