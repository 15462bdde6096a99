# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Invalid requests are refused; all others get one of four outcomes."""

import json

from portwharf import callers
from portwharf.callers import service
from portwharf.core import data
from portwharf.core import ids
from portwharf.testing import fixtures
from portwharf.v1 import callers_connect


class FakeRouter(callers.Router):
    """Answers every request with the same result."""

    def __init__(self, done):
        self.done = done
        self.calls = []

    def route(self, call):
        self.calls.append(call)
        return self.done


def post(router, **fields):
    """Post a request as ``curl`` would.

    :returns: the status and the JSON value of the answer
    """
    body = {'id': ids.make_id(), 'service': 'lens/fit', 'deadlineMs': 100}
    app = callers_connect.CallerServiceWSGIApplication(
        callers.CallerService(router)
    )
    answer = fixtures.WsgiPool(app).request(
        'POST',
        '/portwharf.v1.CallerService/Call',
        json.dumps({**body, **fields}),
        {'Content-Type': 'application/json'},
    )
    return answer.status, json.loads(answer.data)


def test_outcomes_other_than_answered_have_advice(case):
    for outcome in data.Outcome:
        done = callers.CallResult(outcome, b'x', 'why', 20, 'vm-1')
        status, answer = post(FakeRouter(done))
        case.assertEqual(status, 200)
        case.assertEqual(answer['outcome'], f'OUTCOME_{outcome.name}')
        has_advice = 'advice' in answer
        case.assertEqual(has_advice, outcome != data.Outcome.ANSWERED)


def test_invalid_requests_do_not_reach_the_router(case):
    router = FakeRouter(callers.CallResult())
    for fields in (
        {'id': 'hello'},
        {'id': '0f8fad5b-d9cb-469f-a165-70867728950e'},
        {'service': 'fit'},
        {'service': '/fit'},
        {'deadlineMs': 0},
        {'deadlineMs': service.MAX_DEADLINE_MS + 1},
    ):
        status, answer = post(router, **fields)
        case.assertEqual(status, 400)
        case.assertIn('must be', answer['message'])
    case.assertEqual(router.calls, [])


def test_request_is_not_repeatable_by_default(case):
    router = FakeRouter(callers.CallResult())
    post(router)
    post(router, repeatable=True)
    repeatable = [call.repeatable for call in router.calls]
    case.assertEqual(repeatable, [False, True])
