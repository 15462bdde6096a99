# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of portwharf's API: the Connect protocol over ``urllib3``.

The command line uses it. A unary call in the binary encoding is a single
POST. With several entries, one that cannot be connected to is skipped, which
is safe because nothing was sent to it.
"""

import dataclasses
import json

import result
import urllib3

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 30.0
_CONTENT_TYPE = 'application/proto'


@dataclasses.dataclass(slots=True)
class RpcError:
    """The error of a call that failed or was not answered.

    :param code: the Connect error code, as in ``not_found``
    :param text: the error message
    """

    code: str = ''
    text: str = ''


class Client:
    """A client that sends each call to the first reachable entry."""

    def __init__(self, addresses):
        """Create a client.

        :param addresses: list of (IP address, port) of entries
        """
        self._pools = [
            urllib3.HTTPConnectionPool(
                address,
                port,
                maxsize=4,
                retries=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=CALL_TIMEOUT_SECONDS
                ),
            )
            for address, port in addresses
        ]

    def call(self, service, method, req, answer_class):
        """Make one call.

        :param service: full name, as in ``portwharf.v1.CallerService``
        :param method: name, as in ``Call``
        :param req: the request message
        :param answer_class: the class of the answer message
        :returns: Ok(answer), or Err(RpcError)
        """
        path = f'/{service}/{method}'
        body = req.to_binary()
        last_error = RpcError('unavailable', 'no entry address was given')
        for pool in self._pools:
            try:
                response = pool.request(
                    'POST',
                    path,
                    body=body,
                    headers={'Content-Type': _CONTENT_TYPE},
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as exc:
                last_error = RpcError(
                    'unavailable', f'entry unreachable: {exc}'
                )
                continue
            except urllib3.exceptions.HTTPError as exc:
                return result.Err(RpcError('unknown', f'no answer: {exc}'))
            return _read_response(response, answer_class)
        return result.Err(last_error)


def _read_response(response, answer_class):
    if response.status == 200:
        return result.Ok(answer_class.from_binary(response.data))
    try:
        value = json.loads(response.data)
        error = RpcError(value['code'], value.get('message', ''))
    except (KeyError, RecursionError, TypeError, ValueError):
        error = RpcError('unknown', f'HTTP status {response.status}')
    return result.Err(error)
