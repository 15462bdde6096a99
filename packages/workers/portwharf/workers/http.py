# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A worker over HTTP with JSON bodies, on the side's own VM.

Bytes travel as base64 text. ``POST /tasks`` starts, ``/tasks/stop``,
``/tasks/throttle`` and ``/tasks/forget`` name an attempt, ``/leases``
renews, ``GET /tasks`` lists.
"""

import base64
import json

import result
import urllib3

from portwharf.core import codec
from portwharf.workers import base

CALL_SECONDS = 2.0
REFUSED_STATUS = 409


class HttpWorker(base.Worker):
    """A client of a worker; a context manager that closes it."""

    def __init__(self, address, port):
        """Take the worker's IP number and port."""
        self._pool = urllib3.HTTPConnectionPool(
            address, port, maxsize=2, retries=False, timeout=CALL_SECONDS
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def read_listing(self):
        return self._call('GET', '/tasks').and_then(_read_listing)

    def start(self, start):
        body = codec.to_map(start)
        body['argument'] = base64.b64encode(start.argument).decode()
        answer = self._call('POST', '/tasks', body)
        return answer.map(lambda value: value.get('refused', ''))

    def stop(self, task, attempt, checkpoint):
        return self._name('/tasks/stop', task, attempt, checkpoint=checkpoint)

    def throttle(self, task, attempt, percent):
        return self._name('/tasks/throttle', task, attempt, percent=percent)

    def renew(self, until_ms):
        body = {'until_ms': until_ms}
        return self._call('POST', '/leases', body).map(lambda _: None)

    def forget(self, task, attempt):
        return self._name('/tasks/forget', task, attempt)

    def _name(self, path, task, attempt, **more):
        body = {'task': task, 'attempt': attempt, **more}
        return self._call('POST', path, body).map(lambda _: None)

    def _call(self, method, path, body=None):
        """Make one call; a refusal counts as an answer."""
        raw = None if body is None else json.dumps(body)
        try:
            response = self._pool.request(method, path, body=raw)
            value = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return result.Err(str(exc))
        if response.status not in (200, REFUSED_STATUS):
            return result.Err(f'HTTP status {response.status}')
        return result.Ok(value)


def _read_listing(value):
    try:
        for attempt in value.get('attempts', []):
            attempt['result'] = base64.b64decode(attempt.get('result', ''))
        return result.Ok(codec.from_map(base.Listing, value))
    except (TypeError, ValueError, AttributeError) as exc:
        return result.Err(f'not a listing: {exc}')
