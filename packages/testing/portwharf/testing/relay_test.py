# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A relay that tests put between processes harms what it is told to."""

import socket

from portwharf.testing import relay


def open_relay(case):
    """Return a relay, a function that connects to it, and the far end."""
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)
    made = relay.Relay('127.0.0.1', 0, server.getsockname()[1])
    case.enterContext(made)

    def connect():
        near = socket.create_connection(('127.0.0.1', made.port))
        far, _ = server.accept()
        for sock in (near, far):
            sock.settimeout(10)
            case.addCleanup(sock.close)
        return near, far

    return made, connect


def test_hushed_connections_stay_silent_while_new_ones_work(case):
    made, connect = open_relay(case)
    near, far = connect()
    near.sendall(b'before')
    case.assertEqual(far.recv(10), b'before')
    made.hush()
    near.sendall(b'after')
    near.close()
    other_near, other_far = connect()
    other_near.sendall(b'new')
    case.assertEqual(other_far.recv(10), b'new')
    far.setblocking(False)
    with case.assertRaises(BlockingIOError):
        far.recv(10)
