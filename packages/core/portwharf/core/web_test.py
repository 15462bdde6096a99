# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Status pages, shutdown and idle timeout of the server."""

import concurrent.futures
import errno
import http.client
import socket
import threading
from unittest import mock

import urllib3

from portwharf.core import clock
from portwharf.core import web
from portwharf.core import web_connections
from portwharf.testing import fixtures

REQUEST = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'


def get(port, path):
    """Return status and text of a page."""
    response = urllib3.request('GET', f'http://127.0.0.1:{port}{path}')
    return response.status, response.data.decode()


def test_pages_serve_health_readiness_and_metrics(case):
    ready = []
    port = fixtures.serve(case, web.StatusPages(lambda: bool(ready)))
    case.assertEqual(get(port, '/healthz')[0], 200)
    case.assertEqual(get(port, '/readyz')[0], 503)
    ready.append(True)
    case.assertEqual(get(port, '/readyz')[0], 200)
    case.assertIn('process_cpu_seconds', get(port, '/metrics')[1])
    case.assertEqual(get(port, '/else')[0], 404)


def test_finishing_server_answers_requests_in_progress(case):
    started, released = threading.Event(), threading.Event()

    def app(environ, start_response):
        started.set()
        released.wait(20)
        return web.send_text(start_response, 200, 'late\n')

    server = case.enterContext(web.Server('127.0.0.1', 0, app))
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(1))
    fut = pool.submit(get, server.port, '/')
    case.assertTrue(started.wait(20))
    # The request outlasts the timeout.
    case.assertFalse(server.finish(0.1))
    released.set()
    case.assertEqual(fut.result(20), (200, 'late\n'))


def test_draining_server_closes_an_idle_connection(case):
    app = web.StatusPages(lambda: True)
    server = case.enterContext(web.Server('127.0.0.1', 0, app))
    conn = http.client.HTTPConnection('127.0.0.1', server.port, timeout=20)
    conn.request('GET', '/healthz')
    conn.getresponse().read()
    server.drain(0.1)
    case.assertEqual(conn.sock.recv(1), b'')


def test_application_is_told_how_long_a_request_has_waited(case):
    started, released = threading.Event(), threading.Event()
    waits = []

    def app(environ, start_response):
        waits.append(environ[web.QUEUED_SECONDS])
        started.set()
        released.wait(20)
        return web.send_text(start_response, 200, 'done\n')

    server = web.Server('127.0.0.1', 0, app, threads=1)
    now = server._server.clock = clock.ManualClock()
    case.enterContext(server)
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(2))
    first = pool.submit(get, server.port, '/')
    case.assertTrue(started.wait(20))
    second = pool.submit(get, server.port, '/')
    while not server._server.requests.qsize:
        released.wait(0.01)
    now.advance(7.0)
    released.set()
    case.assertEqual(first.result(20), (200, 'done\n'))
    case.assertEqual(second.result(20), (200, 'done\n'))
    case.assertEqual(waits, [0.0, 7.0])


def test_connection_without_a_request_holds_no_thread(case):
    app = web.StatusPages(lambda: True)
    server = case.enterContext(web.Server('127.0.0.1', 0, app, threads=1))
    address = ('127.0.0.1', server.port)
    conn = socket.create_connection(address)
    case.addCleanup(conn.close)
    other = http.client.HTTPConnection(*address, timeout=8)
    other.request('GET', '/healthz')
    case.assertEqual(other.getresponse().status, 200)
    # A request that comes late is answered as well.
    conn.settimeout(8)
    conn.sendall(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
    case.assertIn(b'200 OK', conn.recv(100))


def read_status(conn):
    """Return the first line of the answer on a socket."""
    return conn.recv(100).partition(b'\r\n')[0]


def wait_until_refused(address):
    """Connect to an address until the connection is refused."""
    pause = threading.Event()
    while True:
        try:
            socket.create_connection(address, timeout=8).close()
        except (ConnectionRefusedError, ConnectionResetError):
            # Reset while it is opened: the listener has just closed.
            return
        # Connections in quick succession would overflow the backlog.
        pause.wait(0.01)


def make_server():
    """Return a server that accepts nothing before it is entered."""
    return web.Server('127.0.0.1', 0, web.StatusPages(lambda: True))


def connect(case, server):
    """Return a new connection to a server, and the server's address."""
    address = ('127.0.0.1', server.port)
    conn = socket.create_connection(address, timeout=8)
    return case.enterContext(conn), address


def limit_first_request(case, seconds):
    """Set how long an ending server waits for the first request."""
    name = 'FIRST_REQUEST_SECONDS'
    case.enterContext(mock.patch.object(web_connections, name, seconds))


def test_request_of_an_accepted_connection_is_not_cut_by_the_end(case):
    limit_first_request(case, 20)
    server = case.enterContext(make_server())
    conn, address = connect(case, server)
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(1))
    fut = pool.submit(server.finish, 20)
    wait_until_refused(address)
    conn.sendall(REQUEST)
    case.assertEqual(read_status(conn), b'HTTP/1.1 200 OK')
    case.assertTrue(fut.result(20))


def test_request_in_the_listen_backlog_is_not_cut_by_the_end(case):
    server = make_server()
    conn, _ = connect(case, server)
    conn.sendall(REQUEST)
    case.assertTrue(server.finish(8))
    case.assertEqual(read_status(conn), b'HTTP/1.1 200 OK')


def test_silent_connection_does_not_delay_the_end(case):
    limit_first_request(case, 0)
    server = case.enterContext(make_server())
    conn, _ = connect(case, server)
    case.assertTrue(server.finish(20))
    case.assertEqual(conn.recv(1), b'')


def test_connection_kept_open_after_the_end_is_closed_not_an_error(case):
    server = make_server()
    client, accepted = socket.socketpair()
    case.enterContext(client)
    conn = web_connections.Connection(server._server, accepted)
    case.assertTrue(server.finish(20))
    server._server._connections.put(conn)
    case.assertEqual(client.recv(1), b'')


def test_backlog_that_cannot_be_accepted_does_not_fail_the_end(case):
    server = case.enterContext(make_server())
    # Calls in progress would be cut, as a failed thread ends the process.
    failed = case.enterContext(
        mock.patch.object(threading, 'excepthook', autospec=True)
    )
    accept = case.enterContext(
        mock.patch.object(
            web_connections.ConnectionManager,
            '_from_server_socket',
            autospec=True,
        )
    )
    accept.side_effect = OSError(errno.EMFILE, 'too many open files')
    case.assertTrue(server.finish(20))
    failed.assert_not_called()
    with case.assertRaises(ConnectionRefusedError):
        connect(case, server)
