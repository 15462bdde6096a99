# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""TLS connections are read and written at the same time at both ends.

One thread reads a connection while others send on it. A TLS object may be
used by one thread at a time only, and Python 3.11 does not enforce that:
connections break, and processes crash with corrupted memory. So the test runs
in a process of its own.
"""

import subprocess
import sys

_CONNECTIONS = 40
_MESSAGES = 4
_CHUNK_BYTES = 500_000

_SCRIPT = f"""
import threading
import unittest

from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import streams_test
from portwharf.peers import tls
from portwharf.testing import fixtures

CHUNK = messages.Chunk(1, bytes({_CHUNK_BYTES}))


def send_all(conn):
    for _ in range({_MESSAGES}):
        conn.try_send(CHUNK)


class Duplex(unittest.TestCase):
    def test(self):
        issue = fixtures.make_authority(self)
        context = tls.make_server_context(issue('side'))
        port, _ = streams_test.listen(self, context)
        context = tls.make_client_context(issue('entry'))
        for _ in range({_CONNECTIONS}):
            with streams.dial('127.0.0.1', port, context) as conn:
                sender = threading.Thread(target=send_all, args=(conn,))
                sender.start()
                for _ in range({_MESSAGES}):
                    self.assertEqual(conn.receive(), CHUNK)
                sender.join()


unittest.main()
"""


def test_tls_connection_is_read_while_it_is_written(case):
    done = subprocess.run(
        [sys.executable, '-c', _SCRIPT],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    case.assertEqual(done.returncode, 0, done.stderr[-2000:])
