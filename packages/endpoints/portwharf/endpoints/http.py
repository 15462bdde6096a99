# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A runner over HTTP: ``POST /run/<service>`` with the payload as body.

Status 200 is an answer, 503 and 429 say that the runner has not begun the
request, any other status that it ran and failed. The runner declares the
answer's length, and sends back the request's id, which must be ours.
"""

import urllib3

from portwharf.endpoints import base

CONNECT_SECONDS = 0.5
ID_HEADER = 'X-Request-Id'
_NOT_BEGUN = (429, 503)


class HttpRunner(base.Runner):
    """A client of a runner; a context manager that closes it."""

    def __init__(self, address, port, connections):
        """Take the runner's IP number, port and connection limit."""
        self._pool = urllib3.HTTPConnectionPool(
            address, port, maxsize=connections, retries=False, block=True
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def run(self, request, service, payload, timeout):
        try:
            response = self._pool.request(
                'POST',
                f'/run/{service}',
                body=payload,
                headers={ID_HEADER: request},
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return base.RunnerAnswer(ran=False, reason=_name(exc))
        except urllib3.exceptions.HTTPError as exc:
            return base.RunnerAnswer(reason=_name(exc))
        return _read_response(response, request)


def _read_response(response, request):
    if response.status in _NOT_BEGUN:
        return base.RunnerAnswer(ran=False, reason='runner-busy')
    if response.headers.get(ID_HEADER) != request:
        return base.RunnerAnswer(reason='answer-of-another-request')
    if response.status != 200:
        return base.RunnerAnswer(
            whole=True,
            failed=True,
            reason=f'status-{response.status}',
            payload=response.data,
        )
    return base.RunnerAnswer(whole=True, payload=response.data)


def _name(exc):
    return type(exc).__name__
