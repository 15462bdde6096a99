# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stand-in for an endpoint (runner): slots, connections and a record."""

import collections
import threading
import time

from portwharf.core import web
from portwharf.testing import programs

ID_HEADER = 'X-Request-Id'


class RunnerStandIn:
    """A runner, as a WSGI application.

    :ivar ran: how often each request id was begun
    :ivar delay: seconds that each request takes longer
    """

    def __init__(self, slots=8):
        self.ran = collections.Counter()
        self.delay = 0.0
        self._free = threading.Semaphore(slots)

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/record':
            return web.answer_json(start_response, 200, dict(self.ran))
        if path == '/control':
            self.delay = float(web.read_json(environ).get('delay', 0.0))
            return web.answer_json(start_response, 200, {})
        payload = web.read_body(environ)
        if not self._free.acquire(blocking=False):
            return web.answer_json(start_response, 503, {})
        try:
            return self._run(environ, start_response, path, payload)
        finally:
            self._free.release()

    def _run(self, environ, start_response, path, payload):
        request = environ.get('HTTP_X_REQUEST_ID', '')
        self.ran[request] += 1
        if self.delay:
            time.sleep(self.delay)
        service = path.removeprefix('/run/')
        try:
            raw = programs.answer_request(service, payload)
            status = '200 OK'
        except (ValueError, KeyError) as exc:
            raw = str(exc).encode()
            status = '422 Unprocessable Entity'
        headers = [('Content-Length', str(len(raw))), (ID_HEADER, request)]
        start_response(status, headers)
        return [raw]
