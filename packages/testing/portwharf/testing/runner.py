# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fake of an endpoint (runner) that counts the requests it runs."""

import collections
import threading
import time

from portwharf.core import web
from portwharf.testing import programs

ID_HEADER = 'X-Request-Id'


class FakeRunner:
    """A runner, as a WSGI application.

    It answers 503 while all its slots are taken.

    :ivar ran: number of times that each request id was started
    :ivar delay: seconds added to each request
    """

    def __init__(self, slots=8):
        self.ran = collections.Counter()
        self.delay = 0.0
        self._free_slots = threading.Semaphore(slots)

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/record':
            return web.send_json(start_response, 200, dict(self.ran))
        if path == '/control':
            self.delay = float(web.read_json(environ).get('delay', 0.0))
            return web.send_json(start_response, 200, {})
        payload = web.read_body(environ)
        if not self._free_slots.acquire(blocking=False):
            return web.send_json(start_response, 503, {})
        try:
            return self._run(environ, start_response, path, payload)
        finally:
            self._free_slots.release()

    def _run(self, environ, start_response, path, payload):
        request_id = environ.get('HTTP_X_REQUEST_ID', '')
        self.ran[request_id] += 1
        if self.delay:
            time.sleep(self.delay)
        service = path.removeprefix('/run/')
        try:
            raw = programs.answer_request(service, payload)
            status = '200 OK'
        except (ValueError, KeyError) as exc:
            raw = str(exc).encode()
            status = '422 Unprocessable Entity'
        headers = [('Content-Length', str(len(raw))), (ID_HEADER, request_id)]
        start_response(status, headers)
        return [raw]
