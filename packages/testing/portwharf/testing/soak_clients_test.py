# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The soak's clients tell a cut call from an entry that is down."""

import concurrent.futures
import math
import socket
import time
from unittest import mock

from portwharf.testing import soak_clients
from portwharf.testing import soak_world

ANSWER = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Connection: close\r\nContent-Length: 2\r\n\r\n{}'
)


def answer_once_then_cut(listener):
    """Answer the first connection, and close the second without an answer."""
    for answer in (ANSWER, b''):
        conn, _ = listener.accept()
        with conn:
            conn.recv(4096)
            conn.sendall(answer)


def list_problems_of_cut(case, resumed_at):
    """Return the problems of a client whose second call is cut.

    :param resumed_at: when the entry, which stops, was resumed after a pause
    """
    listener = case.enterContext(socket.create_server(('127.0.0.1', 0)))
    listener.settimeout(20)
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(1))
    fut = pool.submit(answer_once_then_cut, listener)
    entry = soak_world.Program(
        'entry-0', 'entry', stopping=True, resumed_at=resumed_at
    )
    world = mock.Mock()
    world.find_client_place.return_value = listener.getsockname()
    client = soak_clients.Client(world, 1)
    case.assertEqual(client._request('GET', '/', entry)[0], 503)
    case.assertEqual(client.problems, [])
    case.assertEqual(client._request('GET', '/', entry)[0], 0)
    fut.result(20)
    return client.problems


def test_cut_of_a_connection_that_is_opened_again_is_a_problem(case):
    problems = list_problems_of_cut(case, resumed_at=time.monotonic())
    case.assertEqual(len(problems), 1)


def test_call_that_waited_for_a_paused_entry_is_no_problem(case):
    """It may reach its time limit as the entry is resumed and stopped."""
    case.assertEqual(list_problems_of_cut(case, resumed_at=math.inf), [])
