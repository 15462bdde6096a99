# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A shutdown request is noticed whichever thread receives the signal."""

import signal
import subprocess
import sys

# Right after a resume the kernel prefers another thread in most rounds.
ROUNDS = 8
PROGRAM = """
import signal
import threading
from portwharf.core import shutdown

asked = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: asked.set())
for _ in range(8):
    threading.Thread(target=threading.Event().wait, daemon=True).start()
print('ready', flush=True)
shutdown.wait_for_stop_request(asked)
print('asked', flush=True)
"""


def test_signal_that_arrives_as_the_process_resumes_is_noticed(case):
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
                case.fail('shutdown request was not noticed')
        case.assertEqual(out, b'asked\n')


HANGING = """
import threading
from portwharf.core import shutdown

shutdown.exit_after(0.1)
threading.Event().wait()
"""


def test_process_whose_shutdown_hangs_exits_after_the_timeout(case):
    argv = [sys.executable, '-c', HANGING]
    with subprocess.Popen(argv) as program:
        case.addCleanup(program.kill)
        case.assertEqual(program.wait(20), 0)
