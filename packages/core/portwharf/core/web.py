# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""HTTP serving with ``cheroot``: status pages, a server, WSGI helpers.

``/healthz`` is the liveness check, ``/readyz`` the readiness check and
``/metrics`` serves the metrics to Prometheus.
"""

import json
import threading

from cheroot import wsgi
import prometheus_client

from portwharf.core import clock
from portwharf.core import web_connections

# Key of a WSGI environment: for how many seconds the request has waited for a
# thread. Absent if the application is not called by a ``Server``.
QUEUED_SECONDS = 'portwharf.queued_seconds'
_TEXT_TYPE = ('Content-Type', 'text/plain; charset=utf-8')
_JSON_TYPE = ('Content-Type', 'application/json')
_REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
_SHUTDOWN_TIMEOUT_SECONDS = 5


class StatusPages:
    """The WSGI application of the status pages that every process serves."""

    def __init__(self, is_ready):
        """Take a function that returns whether the process accepts work."""
        self._is_ready = is_ready
        self._metrics = prometheus_client.make_wsgi_app()

    def __call__(self, environ, start_response):
        path = environ.get('PATH_INFO', '')
        if path == '/metrics':
            return self._metrics(environ, start_response)
        if path == '/healthz':
            return send_text(start_response, 200, 'ok\n')
        if path == '/readyz' and self._is_ready():
            return send_text(start_response, 200, 'ready\n')
        if path == '/readyz':
            return send_text(start_response, 503, 'not ready\n')
        return send_text(start_response, 404, 'no such page\n')


class _Gateway(wsgi.Gateway_10):
    """Tells the application how long a request has waited."""

    def get_environ(self):
        environ = super().get_environ()
        environ[QUEUED_SECONDS] = self.req.conn.queued_seconds
        return environ


class _Server(wsgi.Server):
    ConnectionClass = web_connections.Connection
    clock = clock.SystemClock()

    def prepare(self):
        super().prepare()
        # A connection that was aborted before it is accepted must not block
        # the selector's thread.
        self.socket.setblocking(False)
        self._connections.close()
        self._connections = web_connections.ConnectionManager(self)

    def process_conn(self, conn):
        if conn.last_used is None:
            # A new connection gets a thread once it has sent something.
            self._connections.put(conn)
            return
        conn.queued_at = self.clock.read_monotonic()
        super().process_conn(conn)


class Server:
    """A ``cheroot`` server that runs in a thread; a context manager."""

    def __init__(self, address, port, app, threads=4, queue=256):
        """Bind to an address.

        :param port: the port, or 0 for any free one
        :param app: the WSGI application
        :param threads: number of threads that handle requests
        :param queue: size of the listen backlog
        """
        self._server = _Server(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=queue,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
        )
        self._server.gateway = _Gateway
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='web', daemon=True
        )

    @property
    def port(self):
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop()
        self._thread.join()

    def drain(self, seconds):
        """Set the time after which an idle connection is closed.

        Called before shutdown, so that persistent connections are closed
        while they are idle rather than during a request.

        :param seconds: the idle timeout from now on
        """
        self._server.timeout = seconds

    def finish(self, seconds):
        """Stop listening, and answer all requests that have arrived.

        :param seconds: the longest time to wait
        :returns: whether all of them were answered
        """
        stop_thread = threading.Thread(target=self._server.stop, daemon=True)
        stop_thread.start()
        stop_thread.join(seconds)
        return not stop_thread.is_alive()


def send_text(start_response, status, text):
    """Answer a WSGI request with plain text."""
    body = text.encode()
    return _answer(start_response, status, body, _TEXT_TYPE)


def send_json(start_response, status, value):
    """Answer a WSGI request with a JSON value."""
    body = json.dumps(value).encode()
    return _answer(start_response, status, body, _JSON_TYPE)


def read_length(environ):
    """Return the length of a WSGI request's body, 0 if it is not given.

    :raises ValueError: not a number, or negative
    """
    text = environ.get('CONTENT_LENGTH') or '0'
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f'Content-Length is {text!r:.40}, not a number >= 0')
    return int(text)


def read_body(environ):
    """Return the body of a WSGI request.

    :raises ValueError: its length is malformed
    """
    return environ['wsgi.input'].read(read_length(environ))


def read_json(environ):
    """Return the JSON value of a WSGI request's body.

    :returns: the value, or an empty map if the body is empty
    :raises ValueError: the body is not JSON, or its length is malformed
    """
    body = read_body(environ)
    return json.loads(body) if body else {}


def _answer(start_response, status, body, content_type):
    headers = [content_type, ('Content-Length', str(len(body)))]
    start_response(
        f'{status} {_REASON_PHRASES.get(status, "Status")}', headers
    )
    return [body]
