# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Client of a runner over HTTP: ``POST /run/<service>`` with the payload.

Status 200 is an answer, 429 and 503 mean that the runner has not started the
request, and any other status that it ran and failed. The runner has to send
the length of the answer and to repeat the id of the request.
"""

import urllib3

from portwharf.endpoints import base

CONNECT_TIMEOUT_SECONDS = 0.5
ID_HEADER = 'X-Request-Id'
_NOT_STARTED_STATUSES = (429, 503)


class HttpRunner(base.Runner):
    """A client of a runner, which the context manager closes."""

    def __init__(self, address, port, connections):
        """Create a client of the runner at an IP address and port.

        :param connections: the most connections; further calls wait
        """
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
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=timeout
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return base.RunnerAnswer(ran=False, reason=_get_class_name(exc))
        except urllib3.exceptions.HTTPError as exc:
            return base.RunnerAnswer(reason=_get_class_name(exc))
        return _read_response(response, request)


def _read_response(response, request):
    if response.status in _NOT_STARTED_STATUSES:
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


def _get_class_name(exc):
    return type(exc).__name__
