# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A connection to the runner on which it has said which life it is.

An order names a life by its id, which the next life may have as well. What
it carries means something to one life alone: the numbers of ends that may
go, a time on the runner's clock, a task that the owner knows to be there. A
connection is to one process until it ends. So a new one begins with a look
that carries none of this, and by its answer everything that follows on it
reaches the life that is meant, or nobody: also what is carried out late.
"""

import result

from portwharf.core import data
from portwharf.platform import beats
from portwharf.platform import http

HOLD = '/portwharf/hold'
# A runner answers within a millisecond; one that leaves an order
# unanswered must not hold up the others for long.
CALL_SECONDS = 0.4
# Tokens that a side has for the lives of its runner, one after the other.
# A store's revisions times this stay whole numbers in JSON (2^53).
LIVES_A_TOKEN = 1024
_OK = 200
# The call was meant for another id.
_OTHER_ID = 421


class Fence:
    """The fencing tokens of one side, higher for each life of its runner.

    A runner may carry an order out seconds late. Should one that was sent to
    a former life be carried out by the next one, which has the same id, it
    is refused for its token once this side has been heard there.
    """

    __slots__ = ('_read_token', '_lives')

    def __init__(self, read_token):
        """Take what gives the side's own token, 0 if it has none yet."""
        self._read_token = read_token
        self._lives = 0

    def read(self):
        """Return the token for the life in use, or 0."""
        token = self._read_token()
        return token * LIVES_A_TOKEN + self._lives if token else 0

    def rise(self):
        """Take the next token, for a life that begins to be used."""
        self._lives = min(self._lives + 1, LIVES_A_TOKEN - 1)


class Line:
    """One connection to the runner; for one thread.

    :ivar life: the ``data.LifeId`` at the other end, or None
    """

    __slots__ = ('life', '_conn', '_read_token')

    def __init__(self, endpoint, read_token):
        """Take the runner's ``settings.Endpoint``.

        :param read_token: gives the fencing token, 0 if there is none yet
        """
        self.life = None
        self._conn = http.Connection(endpoint)
        self._read_token = read_token

    def close(self):
        """Close the connection; nobody is at its other end."""
        self._conn.close()
        self.life = None

    def reach(self, instances):
        """Make sure that a known life is at the other end.

        :param instances: ids that it may have, likeliest first; '' asks
            without one, and then nobody knows which it has
        :returns: Ok(data.LifeId), or Err(http.NoReply)
        """
        if not self._conn.is_open:
            self.life = None
        unnamed = self.life is not None and not self.life.instance
        if self.life is not None and not (unnamed and any(instances)):
            return result.Ok(self.life)
        if not self._read_token():
            return result.Err(http.NoReply('no fencing token yet'))
        if not self._conn.is_open:
            opened = self._conn.open(CALL_SECONDS)
            if opened.is_err():
                return opened
        return self._ask(instances)

    def order(self, path, body, seconds=CALL_SECONDS):
        """Send an order to the life at the other end.

        :returns: Ok(http.Reply), or Err(http.NoReply)
        """
        answer = self._send(self.life.instance, path, body, seconds)
        if answer.is_ok():
            answer = self._check_same(answer.ok_value)
        if answer.is_err() or answer.ok_value.status == _OTHER_ID:
            self.close()
        return answer

    def _ask(self, instances):
        """Find out which of some ids the other end has, and its birth."""
        for instance in instances:
            answer = self._send(instance, HOLD, {'ackedUpto': 0}, CALL_SECONDS)
            if answer.is_err():
                return answer
            reply = answer.ok_value
            if reply.status == _OK:
                return self._take_birth(instance, reply.value)
            if reply.status != _OTHER_ID:
                break
        return result.Err(http.NoReply(f'HTTP status {reply.status}'))

    def _take_birth(self, instance, value):
        """Take the answer of a life that has just been reached."""
        try:
            self.life = data.LifeId(instance, beats.read_birth(value))
        except ValueError as exc:
            return result.Err(http.NoReply(str(exc)))
        return result.Ok(self.life)

    def _check_same(self, reply):
        """Return an answer as Ok, if it is not another life's.

        Lists say it. It would be a runner that has begun anew and kept its
        connections.
        """
        born_ms = reply.value.get('born', self.life.born_ms)
        if born_ms != self.life.born_ms:
            return result.Err(http.NoReply('another life answers', sent=True))
        return result.Ok(reply)

    def _send(self, instance, path, body, seconds):
        headers = {}
        if instance:
            headers['Portwharf-Target-Instance'] = instance
        token = self._read_token()
        body = {**body, 'fence': token}
        return self._conn.call('POST', path, seconds, body, headers)
