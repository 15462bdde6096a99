# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls over connections that fall silent, and unreadable answers.

When packets are lost, every pooled connection is silent. The first call that
times out drops the others as well, and the next calls open new ones.
"""

import concurrent.futures
import threading
from unittest import mock

from portwharf.core import settings
from portwharf.platform import http_client
from portwharf.platform import unreadable
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


UNREADABLE_BODIES = (
    b'[' * 60_000,
    b'{"a":' * 60_000,
    b'[]',
    b'null',
    b'7',
    b'9' * 5000,
    b'\xff\xfe',
    b'{"a": 1',
)


def serve_body(case, status, raw):
    """Return the endpoint of a server that answers with a body."""

    def answer(environ, start_response):
        headers = [('Content-Length', str(len(raw)))]
        start_response(f'{status} Status', headers)
        return [raw]

    port = fixtures.serve(case, answer)
    return settings.Endpoint('127.0.0.1', port)


def test_unreadable_answer_is_none_and_ends_no_thread(case):
    """Guards against processes that end by one answer (incident 0035)."""
    for raw in UNREADABLE_BODIES:
        endpoint = serve_body(case, 200, raw)
        client = case.enterContext(http_client.Client(endpoint))
        answer = call(client, '/')
        case.assertIn('unreadable body', answer.err_value.text)
        case.assertTrue(answer.err_value.sent)
        conn = http_client.Connection(endpoint)
        case.addCleanup(conn.close)
        conn.open(10)
        case.assertTrue(conn.call('GET', '/', 10, {}, {}).is_err())


def test_refusal_with_an_unreadable_body_is_a_refusal(case):
    for raw in UNREADABLE_BODIES:
        endpoint = serve_body(case, 503, raw)
        client = case.enterContext(http_client.Client(endpoint))
        answer = call(client, '/').ok_value
        case.assertEqual((answer.status, answer.value), (503, {}))


def test_unreadable_answers_are_counted_and_logged_once(case):
    endpoint = serve_body(case, 200, b'[]')
    client = case.enterContext(http_client.Client(endpoint))
    fresh = unreadable.UnreadableInput('answer')
    before = fixtures.read_counter('portwharf_unreadable', kind='answer')
    with (
        mock.patch.object(http_client, '_UNREADABLE', fresh),
        case.assertLogs('portwharf.platform.unreadable') as found,
    ):
        for _ in range(3):
            call(client, '/')
    case.assertEqual(len(found.records), 1)
    after = fixtures.read_counter('portwharf_unreadable', kind='answer')
    case.assertEqual(after - before, 3)
