# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Client of a worker on the same VM, over HTTP with JSON bodies.

``POST /tasks`` starts an attempt; ``POST /tasks/stop``, ``/tasks/throttle``
and ``/tasks/forget`` act on an attempt; ``POST /leases`` renews the leases;
``GET /tasks`` lists the attempts. Bytes are encoded as base64.
"""

import base64
import json

import result
import urllib3

from portwharf.core import codec
from portwharf.core import json_input
from portwharf.workers import base

CALL_TIMEOUT_SECONDS = 2.0
REFUSED_STATUS = 409


class HttpWorker(base.Worker):
    """A client of a worker, which the context manager closes."""

    def __init__(self, address, port):
        """Create a client of the worker at an IP address and port."""
        self._pool = urllib3.HTTPConnectionPool(
            address,
            port,
            maxsize=2,
            retries=False,
            timeout=CALL_TIMEOUT_SECONDS,
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
        return answer.map(_read_refusal)

    def revoke_expired_starts(self):
        # The worker itself refuses a start after the end of its lease.
        return self.read_listing()

    def stop(self, task, attempt, checkpoint):
        return self._post('/tasks/stop', task, attempt, checkpoint=checkpoint)

    def throttle(self, task, attempt, percent):
        return self._post('/tasks/throttle', task, attempt, percent=percent)

    def renew(self, until_ms):
        body = {'until_ms': until_ms}
        return self._call('POST', '/leases', body).map(lambda _: None)

    def forget(self, task, attempt):
        return self._post('/tasks/forget', task, attempt)

    def _post(self, path, task, attempt, **fields):
        """Post a request about an attempt."""
        body = {'task': task, 'attempt': attempt, **fields}
        return self._call('POST', path, body).map(lambda _: None)

    def _call(self, method, path, body=None):
        """Make one call.

        :returns: Ok(map), also for a refusal, or Err(text)
        """
        raw = None if body is None else json.dumps(body)
        try:
            response = self._pool.request(method, path, body=raw)
            value = json_input.decode_object(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return result.Err(str(exc))
        if response.status not in (200, REFUSED_STATUS):
            return result.Err(f'HTTP status {response.status}')
        return result.Ok(value)


def _read_refusal(value):
    """Return why a start was refused, '' if it was not."""
    reason = value.get('refused', '')
    if isinstance(reason, str):
        return reason.encode(errors='replace').decode()
    return 'the worker gave no reason'


def _read_listing(value):
    try:
        for attempt in value.get('attempts', []):
            attempt['result'] = base64.b64decode(attempt.get('result', ''))
        found = codec.from_map(base.Listing, value)
        # What cannot be packed could not be reported.
        codec.pack(found)
        return result.Ok(found)
    except json_input.DECODE_ERRORS as exc:
        return result.Err(f'invalid worker listing: {exc}')
