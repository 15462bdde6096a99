# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A connection to one incarnation of the runner, and its fencing tokens.

An incarnation is one run of the runner's process, from its start to its exit
or crash. An order names an incarnation by its instance id only, and the next
incarnation may have the same id. But an order's content is valid for a single
incarnation: the highest end number that is acknowledged, a time on the
runner's clock, a task that the owner knows to run there. A TCP connection
leads to one process until it closes. So each new connection begins with a
request that carries nothing valid for one incarnation only, and the response
identifies the incarnation at the other end. Every later order on the
connection reaches that incarnation or none, also when it is carried out late.
"""

import result

from portwharf.core import data
from portwharf.platform import heartbeats
from portwharf.platform import http_client

HOLD_PATH = '/portwharf/hold'
# A runner answers within a millisecond; one that leaves an order
# unanswered must not delay the other orders for long.
CALL_SECONDS = 0.4
# A side's own token, a revision of the store, is multiplied by this to get the
# first of the tokens that it may send. The product stays an exact JSON integer
# (below 2^53).
TOKENS_PER_REVISION = 1024
_OK = 200
# 421 Misdirected Request: the order named another instance id.
_MISDIRECTED = 421


class FencingTokens:
    """The fencing tokens of one side, in increasing order.

    A runner may carry an order out seconds late, but ignores it once it has
    seen a higher token. Each incarnation of the runner gets a higher token, so
    that it ignores orders for a former incarnation with the same id. A higher
    token also revokes earlier orders to the same incarnation.
    """

    __slots__ = ('_read_token', '_advances')

    def __init__(self, read_token):
        """Set up the tokens.

        :param read_token: returns the side's own token, 0 if it has none yet
        """
        self._read_token = read_token
        self._advances = 0

    def read(self):
        """Return the current token, or 0."""
        token = self._read_token()
        return token * TOKENS_PER_REVISION + self._advances if token else 0

    def advance(self):
        """Move on to the next token, or keep the last one."""
        self._advances = min(self._advances + 1, TOKENS_PER_REVISION - 1)

    def advance_beyond(self, token):
        """Move on to the next token if the current one is not yet higher.

        :param token: a token that was read before
        :returns: whether the current token is higher now
        """
        if self.read() <= token:
            self.advance()
        return self.read() > token


class RunnerConnection:
    """One connection to the runner, used by one thread.

    :ivar life: the ``data.IncarnationId`` at the other end, or None
    """

    __slots__ = ('life', '_conn', '_read_token')

    def __init__(self, endpoint, read_token):
        """Prepare the connection without opening it.

        :param endpoint: the runner's ``settings.Endpoint``
        :param read_token: returns the fencing token, 0 if there is none yet
        """
        self.life = None
        self._conn = http_client.Connection(endpoint)
        self._read_token = read_token

    def close(self):
        """Close the connection and forget the incarnation at its other end."""
        self._conn.close()
        self.life = None

    def reach(self, instances):
        """Ensure that the connection leads to a known incarnation.

        :param instances: instance ids to try, most likely first; '' sends
            no id, and the incarnation that answers has an unknown one
        :returns: Ok(data.IncarnationId), or Err(http_client.NoReply)
        """
        if not self._conn.is_open:
            self.life = None
        unidentified = self.life is not None and not self.life.instance
        if self.life is not None and not (unidentified and any(instances)):
            return result.Ok(self.life)
        if not self._read_token():
            return result.Err(http_client.NoReply('no fencing token yet'))
        if not self._conn.is_open:
            opened = self._conn.open(CALL_SECONDS)
            if opened.is_err():
                return opened
        return self._identify_life(instances)

    def order(self, path, body, seconds=CALL_SECONDS):
        """Send an order to the incarnation at the other end.

        The connection is closed if another incarnation answers, or none.

        :returns: Ok(http_client.Reply), or Err(http_client.NoReply)
        """
        answer = self._send(self.life.instance, path, body, seconds)
        if answer.is_ok():
            answer = self._check_life(answer.ok_value)
        if answer.is_err() or answer.ok_value.status == _MISDIRECTED:
            self.close()
        return answer

    def _identify_life(self, instances):
        """Find out which instance id the runner has, and its birth time."""
        for instance in instances:
            answer = self._send(
                instance, HOLD_PATH, {'ackedUpto': 0}, CALL_SECONDS
            )
            if answer.is_err():
                return answer
            reply = answer.ok_value
            if reply.status == _OK:
                return self._record_life(instance, reply.value)
            if reply.status != _MISDIRECTED:
                break
        return result.Err(http_client.NoReply(f'HTTP status {reply.status}'))

    def _record_life(self, instance, value):
        """Record the incarnation that answered the first request."""
        try:
            self.life = data.IncarnationId(
                instance, heartbeats.read_birth_time(value)
            )
        except ValueError as exc:
            return result.Err(http_client.NoReply(str(exc)))
        return result.Ok(self.life)

    def _check_life(self, reply):
        """Return Ok(reply) unless another incarnation sent it.

        Replies with lists carry the birth time. It differs if a restarted
        runner has kept its connections.
        """
        born_ms = reply.value.get('born', self.life.born_ms)
        if born_ms != self.life.born_ms:
            return result.Err(
                http_client.NoReply('another incarnation replied', sent=True)
            )
        return result.Ok(reply)

    def _send(self, instance, path, body, seconds):
        headers = {}
        if instance:
            headers['Portwharf-Target-Instance'] = instance
        token = self._read_token()
        body = {**body, 'fence': token}
        return self._conn.call('POST', path, seconds, body, headers)
