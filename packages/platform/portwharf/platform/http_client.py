# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""HTTP clients for the platform's programs, with JSON bodies.

A body that cannot be read is no response: callers get a JSON object or none.
"""

import dataclasses
import http.client
import json

import result
import urllib3
import urllib3.connection

from portwharf.core import json_input
from portwharf.core import pools
from portwharf.platform import unreadable

JSON_HEADERS = {'Content-Type': 'application/json'}
_UNREADABLE = unreadable.UnreadableInput('answer')


@dataclasses.dataclass(slots=True)
class Reply:
    """A response: its status and its decoded body, {} if it has none."""

    status: int = 0
    value: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NoReply:
    """A request without a usable response.

    :param sent: it may have been carried out, or may be later
    :param refused: the connection was refused, as nothing listens there
    """

    text: str = ''
    sent: bool = False
    refused: bool = False


class Client:
    """Calls one address; a context manager that closes connections."""

    def __init__(self, endpoint, connections=4):
        """Take a ``settings.Endpoint``.

        :param connections: how many idle connections are kept open
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
        """Send a request and wait for its response.

        :param seconds: timeout
        :param body: a value to send as JSON, or None
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
                pools.close_idle_connections(self._pool)
            return result.Err(NoReply(str(exc), sent=True))
        return _read_reply(response)


class Connection:
    """One connection to an address that never reconnects by itself.

    All calls reach the same process while it is open. It is used by one
    thread.
    """

    def __init__(self, endpoint):
        """Take a ``settings.Endpoint`` without connecting to it."""
        self._conn = urllib3.connection.HTTPConnection(
            endpoint.address, endpoint.port
        )

    @property
    def is_open(self):
        """Whether it was opened and the peer has not closed it."""
        return self._conn.is_connected

    def open(self, seconds):
        """Close the connection if it is open, and connect.

        :param seconds: timeout
        :returns: Ok(None), or Err(NoReply)
        """
        self.close()
        self._conn.timeout = seconds
        try:
            self._conn.connect()
        except urllib3.exceptions.NewConnectionError as exc:
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return result.Err(NoReply(str(exc), refused=refused))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return result.Err(NoReply(str(exc)))
        return result.Ok(None)

    def close(self):
        """Close it; an unanswered request may still be carried out."""
        self._conn.close()

    def call(self, method, path, seconds, body, headers):
        """Send a request; without a response the connection is closed.

        :param seconds: timeout
        :returns: Ok(Reply), or Err(NoReply)
        """
        if self._conn.sock is None:
            # The last response closed the connection.
            return result.Err(NoReply('the connection is closed'))
        raw = json.dumps(body)
        self._conn.timeout = seconds
        try:
            self._conn.sock.settimeout(seconds)
            self._conn.request(method, path, raw, {**JSON_HEADERS, **headers})
            response = self._conn.getresponse()
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as exc:
            self.close()
            return result.Err(NoReply(str(exc), sent=True))
        return _read_reply(response)


def _read_reply(response):
    """Return the library's response as Ok(Reply), or Err(NoReply)."""
    try:
        value = {}
        if response.data:
            value = json_input.decode_object(response.data)
    except ValueError as exc:
        _UNREADABLE.record(exc, status=response.status)
        if response.status == 200:
            return result.Err(NoReply(f'unreadable body: {exc}', sent=True))
        value = {}
    return result.Ok(Reply(response.status, value))
