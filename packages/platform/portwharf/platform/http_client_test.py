# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A timeout drops all idle connections, so that few calls are lost.

When packets are lost, every pooled connection is silent. The first call that
times out drops the others as well, and the next calls open new ones.
"""

import concurrent.futures
import threading

from portwharf.core import settings
from portwharf.platform import http_client
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf.testing import relay

CONNECTIONS = 3


class DelayingApp:
    """Answers ``/together`` once all have come, ``/held`` on release."""

    def __init__(self):
        self._barrier = threading.Barrier(CONNECTIONS)
        self.held = threading.Event()
        self.released = threading.Event()

    def __call__(self, environ, start_response):
        if environ['PATH_INFO'] == '/together':
            self._barrier.wait(10)
        if environ['PATH_INFO'] == '/held':
            self.held.set()
            self.released.wait(10)
        return platform_store.answer(start_response, 200, {})


def open_client(case):
    """Return a client, its relay, the application and a thread pool."""
    app = DelayingApp()
    port = fixtures.serve(case, app, threads=8)
    link_relay = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    endpoint = settings.Endpoint('127.0.0.1', link_relay.port)
    client = case.enterContext(http_client.Client(endpoint))
    pool = case.enterContext(
        concurrent.futures.ThreadPoolExecutor(CONNECTIONS)
    )
    case.addCleanup(app.released.set)
    return client, link_relay, app, pool


def call(client, path, seconds=10):
    """Send a request."""
    return client.call('GET', path, seconds)


def call_together(client, pool):
    """Send requests at the same time; returns which were answered."""
    futures = [
        pool.submit(call, client, '/together', 2) for _ in range(CONNECTIONS)
    ]
    return [future.result().is_ok() for future in futures]


def test_one_timeout_drops_all_silent_connections(case):
    client, link_relay, _, pool = open_client(case)
    case.assertEqual(call_together(client, pool), [True] * CONNECTIONS)
    link_relay.freeze_connections()
    case.assertTrue(call(client, '/', 0.2).is_err())
    case.assertEqual(call_together(client, pool), [True] * CONNECTIONS)


def test_timeout_of_one_call_keeps_a_connection_in_use(case):
    client, _, app, pool = open_client(case)
    held = pool.submit(call, client, '/held')
    app.held.wait(10)
    case.assertTrue(call(client, '/held', 0.1).is_err())
    app.released.set()
    case.assertTrue(held.result().is_ok())


def close_after_answer(environ, start_response):
    """Answer, and ask to close the connection."""
    start_response('200 OK', [('Connection', 'close')])
    return [b'{}']


def test_call_on_a_connection_that_its_peer_closes_is_not_sent(case):
    port = fixtures.serve(case, close_after_answer)
    conn = http_client.Connection(settings.Endpoint('127.0.0.1', port))
    conn.open(10)
    case.addCleanup(conn.close)
    case.assertTrue(conn.call('GET', '/', 10, {}, {}).is_ok())
    answer = conn.call('GET', '/', 10, {}, {})
    case.assertTrue(answer.is_err())
    case.assertFalse(answer.err_value.sent)
