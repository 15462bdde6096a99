# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""HTTP serving by ``cheroot``: pages, a server as a context manager.

``/healthz`` says that the process runs, ``/readyz`` that it can take work,
``/metrics`` gives the metrics to Prometheus.
"""

import json
import threading

from cheroot import wsgi
import prometheus_client

_TEXT = ('Content-Type', 'text/plain; charset=utf-8')
_JSON = ('Content-Type', 'application/json')
_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
_STOP_SECONDS = 5


class Pages:
    """The WSGI application of the pages that every process serves."""

    def __init__(self, is_ready):
        """Take a function that tells whether the process takes work."""
        self._is_ready = is_ready
        self._metrics = prometheus_client.make_wsgi_app()

    def __call__(self, environ, start_response):
        path = environ.get('PATH_INFO', '')
        if path == '/metrics':
            return self._metrics(environ, start_response)
        if path == '/healthz':
            return answer_text(start_response, 200, 'ok\n')
        if path == '/readyz' and self._is_ready():
            return answer_text(start_response, 200, 'ready\n')
        if path == '/readyz':
            return answer_text(start_response, 503, 'not ready\n')
        return answer_text(start_response, 404, 'no such page\n')


class Server:
    """A ``cheroot`` server in a thread of its own, while in its block."""

    def __init__(self, address, port, app, threads=4, queue=256):
        """Bind to an address; port 0 takes any that is free."""
        self._server = wsgi.Server(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=queue,
            shutdown_timeout=_STOP_SECONDS,
        )
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
        """Close each connection that has been idle for so long, from now on.

        Callers that keep a connection open would find an end on it.
        """
        self._server.timeout = seconds

    def finish(self, seconds):
        """Take nothing more, and wait for the answers to what was taken.

        :param seconds: how long to wait at the most
        :returns: whether all were given
        """
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        stopper.join(seconds)
        return not stopper.is_alive()


def answer_text(start_response, status, text):
    """Answer a WSGI request with plain text."""
    raw = text.encode()
    return _answer(start_response, status, raw, _TEXT)


def answer_json(start_response, status, value):
    """Answer a WSGI request with a JSON value."""
    raw = json.dumps(value).encode()
    return _answer(start_response, status, raw, _JSON)


def read_body(environ):
    """Return the whole body of a WSGI request."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    return environ['wsgi.input'].read(length)


def read_json(environ):
    """Return the body of a WSGI request as JSON; an empty one as a map."""
    raw = read_body(environ)
    return json.loads(raw) if raw else {}


def _answer(start_response, status, raw, kind):
    headers = [kind, ('Content-Length', str(len(raw)))]
    start_response(f'{status} {_REASONS.get(status, "Status")}', headers)
    return [raw]
