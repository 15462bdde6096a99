# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Health, readiness and metrics pages."""

import concurrent.futures
import http.client
import threading

import urllib3

from portwharf.core import web
from portwharf.testing import fixtures


def get(port, path):
    """Return status and text of a page."""
    answer = urllib3.request('GET', f'http://127.0.0.1:{port}{path}')
    return answer.status, answer.data.decode()


def test_pages_tell_health_readiness_and_metrics(case):
    ready = []
    port = fixtures.serve(case, web.Pages(lambda: bool(ready)))
    case.assertEqual(get(port, '/healthz')[0], 200)
    case.assertEqual(get(port, '/readyz')[0], 503)
    ready.append(True)
    case.assertEqual(get(port, '/readyz')[0], 200)
    case.assertIn('process_cpu_seconds', get(port, '/metrics')[1])
    case.assertEqual(get(port, '/else')[0], 404)


def test_server_that_finishes_answers_what_it_has_taken(case):
    asked, let_go = threading.Event(), threading.Event()

    def answer(environ, start_response):
        asked.set()
        let_go.wait(20)
        return web.answer_text(start_response, 200, 'late\n')

    server = case.enterContext(web.Server('127.0.0.1', 0, answer))
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(1))
    taken = pool.submit(get, server.port, '/')
    case.assertTrue(asked.wait(20))
    # It waits no longer than it is told to.
    case.assertFalse(server.finish(0.1))
    let_go.set()
    case.assertEqual(taken.result(20), (200, 'late\n'))


def test_drained_server_closes_a_connection_that_is_idle(case):
    page = web.Pages(lambda: True)
    server = case.enterContext(web.Server('127.0.0.1', 0, page))
    conn = http.client.HTTPConnection('127.0.0.1', server.port, timeout=20)
    conn.request('GET', '/healthz')
    conn.getresponse().read()
    server.drain(0.1)
    case.assertEqual(conn.sock.recv(1), b'')
