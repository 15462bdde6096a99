# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of portwharf's calls: the Connect protocol over ``urllib3``.

Used by the command line; unary calls in binary need no more than a POST.
Several entries may be given: one that cannot be reached is passed over,
which is safe because nothing was sent to it.
"""

import dataclasses
import json

import result
import urllib3

CONNECT_SECONDS = 1.0
CALL_SECONDS = 30.0
_BINARY = 'application/proto'


@dataclasses.dataclass(slots=True)
class RpcError:
    """An error answer, or the lack of an answer.

    :param code: Connect's code, as in ``not_found``
    """

    code: str = ''
    text: str = ''


class Client:
    """Calls to any of some entries."""

    def __init__(self, addresses):
        """Take a list of (IP number, port)."""
        self._pools = [
            urllib3.HTTPConnectionPool(
                address,
                port,
                maxsize=4,
                retries=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, read=CALL_SECONDS
                ),
            )
            for address, port in addresses
        ]

    def call(self, service, method, req, answer_class):
        """Make one call.

        :param service: full name, as in ``portwharf.v1.CallerService``
        :param method: name, as in ``Call``
        :returns: Ok(answer), or Err(RpcError)
        """
        path = f'/{service}/{method}'
        body = req.to_binary()
        last = RpcError('unavailable', 'no entry is given')
        for pool in self._pools:
            try:
                response = pool.request(
                    'POST', path, body=body, headers={'Content-Type': _BINARY}
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as exc:
                last = RpcError('unavailable', f'entry unreachable: {exc}')
                continue
            except urllib3.exceptions.HTTPError as exc:
                return result.Err(RpcError('unknown', f'no answer: {exc}'))
            return _read_response(response, answer_class)
        return result.Err(last)


def _read_response(response, answer_class):
    if response.status == 200:
        return result.Ok(answer_class.from_binary(response.data))
    try:
        value = json.loads(response.data)
        error = RpcError(value['code'], value.get('message', ''))
    except (ValueError, KeyError):
        error = RpcError('unknown', f'HTTP status {response.status}')
    return result.Err(error)
