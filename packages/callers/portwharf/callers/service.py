# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The schema's ``CallerService``: a request is answered with one response.

Invalid requests are refused with a Connect error before they run. All others
get one of the four outcomes, which the router determines.
"""

import abc
import dataclasses

from connectrpc import code
from connectrpc import errors

from portwharf.core import data
from portwharf.core import ids
from portwharf.v1 import callers_pb as pb

MAX_DEADLINE_MS = 600_000
MAX_CALLER_CHARACTERS = 63
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024

_ADVICE = {
    data.Outcome.ANSWERED: '',
    data.Outcome.NOT_RUN: 'it did not run: send it again after retry_after_ms',
    data.Outcome.FAILED: 'it ran and failed: see the payload',
    data.Outcome.UNKNOWN: (
        'it may have run: send it again if it is repeatable, else look at '
        'its effect first'
    ),
}


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request.

    :param repeatable: the caller accepts that the request runs repeatedly
    :param deadline_ms: time until the caller stops waiting
    :param sent_before: the caller has sent a request with this id before
    """

    id: str = ''
    service: str = ''
    repeatable: bool = False
    deadline_ms: int = 0
    payload: bytes = b''
    caller: str = ''
    sent_before: bool = False
    # Tells whether the caller has more requests in progress than its share, as
    # found on admission.
    excess: bool = False


@dataclasses.dataclass(slots=True)
class CallResult:
    """The outcome of a request.

    :param outcome: one of ``data.Outcome``
    :param maybe_ran: one of the attempts to send the request may have run,
        whatever the outcome of the last one
    :param proved: the home VM of the request has confirmed that an outcome
        "not run" applies to all requests with this id
    """

    outcome: int = data.Outcome.UNKNOWN
    payload: bytes = b''
    reason: str = ''
    retry_after_ms: int = 0
    endpoint: str = ''
    maybe_ran: bool = False
    proved: bool = False


class Router(abc.ABC):
    """Sends requests to endpoints."""

    @abc.abstractmethod
    def route(self, call):
        """Send a request to an endpoint and wait for its answer.

        :param call: a :class:`Call`
        :returns: a :class:`CallResult`, by the deadline of the call
        """


class CallerService:
    """Handlers of the schema's ``CallerService``."""

    def __init__(self, router):
        self._router = router

    def call(self, req, ctx):
        """Send a request to an endpoint and return its answer."""
        problems = check_call(req)
        if problems:
            raise errors.ConnectError(
                code.Code.INVALID_ARGUMENT,
                '\n'.join(problem.describe() for problem in problems),
            )
        done = self._router.route(
            Call(
                req.id,
                req.service,
                req.repeatable,
                req.deadline_ms,
                bytes(req.payload),
                req.caller,
                req.sent_before,
            )
        )
        return pb.CallResponse(
            id=req.id,
            outcome=pb.Outcome(done.outcome),
            payload=done.payload,
            reason=done.reason,
            advice=_ADVICE[done.outcome],
            retry_after_ms=done.retry_after_ms,
            endpoint=done.endpoint,
        )


def check_call(req):
    """Return the Problems of a request message."""
    problems = []
    if ids.read_unix_ms(req.id) is None:
        problems.append(
            data.Problem(
                'bad-field',
                'id',
                repr(req.id),
                'must be a UUID of version 7',
                'generate a new one for each new request',
            )
        )
    team, slash, name = req.service.partition('/')
    if not (team and slash and name):
        problems.append(
            data.Problem(
                'bad-field',
                'service',
                repr(req.service),
                'must be "team/name"',
                'see "portwharf services"',
            )
        )
    if not 1 <= req.deadline_ms <= MAX_DEADLINE_MS:
        problems.append(
            data.Problem(
                'bad-field',
                'deadline_ms',
                str(req.deadline_ms),
                f'must be from 1 to {MAX_DEADLINE_MS:,}',
                'set the time to wait for the answer',
            )
        )
    if len(req.payload) > MAX_PAYLOAD_BYTES:
        problems.append(
            data.Problem(
                'bad-field',
                'payload',
                f'{len(req.payload)} bytes',
                f'must be at most {MAX_PAYLOAD_BYTES:,} bytes',
                'send a smaller payload',
            )
        )
    if len(req.caller) > MAX_CALLER_CHARACTERS:
        problems.append(
            data.Problem(
                'bad-field',
                'caller',
                f'{len(req.caller)} characters',
                f'must be at most {MAX_CALLER_CHARACTERS} characters',
                'use a shorter name',
            )
        )
    return problems
