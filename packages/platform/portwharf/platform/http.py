# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""One client for everything of the platform that speaks HTTP and JSON."""

import dataclasses
import json

import result
import urllib3

from portwharf.core import pools

JSON_HEADERS = {'Content-Type': 'application/json'}


@dataclasses.dataclass(slots=True)
class Reply:
    """An answer: its status and the value of its body, {} for none."""

    status: int = 0
    value: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NoReply:
    """A call that got no answer.

    :param sent: it may have been carried out, or may be later
    :param refused: nothing listens there
    """

    text: str = ''
    sent: bool = False
    refused: bool = False


class Client:
    """Calls one address; a context manager that closes connections."""

    def __init__(self, endpoint, connections=4):
        """Take a ``settings.Endpoint``.

        :param connections: how many are kept open between calls
        """
        self._pool = urllib3.HTTPConnectionPool(
            endpoint.address,
            endpoint.port,
            maxsize=connections,
            retries=False,
            block=False,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def call(self, method, path, seconds, body=None, headers=None):
        """Make one call.

        :param seconds: how long to wait for the answer
        :param body: a value for JSON, or None
        :returns: Ok(Reply), or Err(NoReply)
        """
        raw = None if body is None else json.dumps(body)
        try:
            response = self._pool.request(
                method,
                path,
                body=raw,
                headers={**JSON_HEADERS, **(headers or {})},
                timeout=urllib3.Timeout(connect=seconds, read=seconds),
            )
        except urllib3.exceptions.NewConnectionError as exc:
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return result.Err(NoReply(str(exc), refused=refused))
        except urllib3.exceptions.HTTPError as exc:
            if isinstance(exc, urllib3.exceptions.TimeoutError):
                pools.drop_idle(self._pool)
            return result.Err(NoReply(str(exc), sent=True))
        try:
            value = json.loads(response.data) if response.data else {}
        except ValueError as exc:
            if response.status == 200:
                return result.Err(NoReply(f'not JSON: {exc}', sent=True))
            value = {}
        return result.Ok(Reply(response.status, value))
