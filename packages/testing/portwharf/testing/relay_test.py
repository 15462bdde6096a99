# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of the faults that a relay injects."""

import socket
from unittest import mock

from portwharf.testing import relay


def open_relay(case):
    """Return a relay and a function that opens a connection through it.

    The function returns the sockets of both ends.
    """
    server = socket.create_server(('127.0.0.1', 0))
    server.settimeout(10)
    case.addCleanup(server.close)
    proxy = relay.Relay('127.0.0.1', 0, server.getsockname()[1])
    case.enterContext(proxy)

    def connect():
        client = socket.create_connection(('127.0.0.1', proxy.port))
        server_end, _ = server.accept()
        for sock in (client, server_end):
            sock.settimeout(10)
            case.addCleanup(sock.close)
        return client, server_end

    return proxy, connect


def test_hushed_connections_stay_silent_while_new_ones_work(case):
    proxy, connect = open_relay(case)
    client, server_end = connect()
    client.sendall(b'before')
    case.assertEqual(server_end.recv(10), b'before')
    proxy.freeze_connections()
    client.sendall(b'after')
    client.close()
    new_client, new_server_end = connect()
    new_client.sendall(b'new')
    case.assertEqual(new_server_end.recv(10), b'new')
    server_end.setblocking(False)
    with case.assertRaises(BlockingIOError):
        server_end.recv(10)


class InlineThread:
    """Runs its target when it is started, and returns after that."""

    def __init__(self, target, args, daemon):
        self._target = target
        self._args = args

    def start(self):
        """Run the target to its end."""
        self._target(*self._args)


def test_relay_goes_on_after_a_connection_that_closes_at_once(case):
    """One direction ends, and closes both sockets, before the other begins."""
    proxy, connect = open_relay(case)
    with mock.patch.object(relay.threading, 'Thread', InlineThread):
        client, server_end = connect()
        client.close()
        case.assertEqual(server_end.recv(10), b'')
    client, server_end = connect()
    client.sendall(b'new')
    case.assertEqual(server_end.recv(10), b'new')
