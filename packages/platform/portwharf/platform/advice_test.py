# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of the advice service's client."""

import json

from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import advice
from portwharf.scheduler import policy
from portwharf.testing import fixtures
from portwharf.testing import platform_store

STEP = '5c0e7a21d94b36f8.0.1'


def open_service(case, status=200):
    """Return the client of a service that permits the first worker."""
    bodies = []

    def answer(environ, start_response):
        size = int(environ['CONTENT_LENGTH'])
        body = json.loads(environ['wsgi.input'].read(size))
        bodies.append(body)
        value = {'good': [[body['workers'][0], 'ticket-1']]}
        return platform_store.answer(start_response, status, value)

    port = fixtures.serve(case, answer)
    endpoint = settings.Endpoint('127.0.0.1', port)
    return case.enterContext(advice.AdviceClient(endpoint)), bodies


def test_permitted_workers_are_returned_with_their_tickets(case):
    service, bodies = open_service(case)
    first, second = data.IncarnationId('i-1', 9), data.IncarnationId('i-2', 8)
    permits = service.query(STEP, [first, second]).ok_value
    case.assertEqual(permits, [policy.Permit(first, 'ticket-1')])
    case.assertEqual(bodies, [{'step': STEP, 'workers': ['i-1', 'i-2']}])


def test_overloaded_service_is_an_error(case):
    service, _ = open_service(case, status=429)
    case.assertTrue(service.query(STEP, [data.IncarnationId('i-1')]).is_err())


def open_odd_service(case, body):
    """Return the client of a service that always answers with a body."""

    def answer(environ, start_response):
        return platform_store.answer(start_response, 200, body)

    port = fixtures.serve(case, answer)
    endpoint = settings.Endpoint('127.0.0.1', port)
    return case.enterContext(advice.AdviceClient(endpoint))


def test_odd_rows_are_passed_over(case):
    """Guards against a policy thread that ends (incident 0035)."""
    life = data.IncarnationId('i-1', 9)
    odd = [7, None, {}, [], ['i-1'], ['i-1', 7], [7, 'ticket'], [[], 'ticket']]
    odd += [['i-1', None], ['i-1', '\ud800'], ['i-1', 'x' * 10_000]]
    odd += [['i-1', 10**400], ['i-1', 'ticket', 'more']]
    before = fixtures.read_counter('portwharf_unreadable', kind='ticket')
    rows = [*odd, ['i-1', 'ticket-1'], ['i-2', 'other']]
    service = open_odd_service(case, {'good': rows})
    permits = service.query(STEP, [life]).ok_value
    case.assertEqual(permits, [policy.Permit(life, 'ticket-1')])
    after = fixtures.read_counter('portwharf_unreadable', kind='ticket')
    case.assertEqual(after - before, len(odd))


def test_answer_without_a_list_is_an_error(case):
    for body in ({'good': 7}, {'good': {'i-1': 'x'}}, {'good': 'i-1'}):
        service = open_odd_service(case, body)
        found = service.query(STEP, [data.IncarnationId('i-1')])
        case.assertIn('unreadable', found.err_value)
    service = open_odd_service(case, {})
    case.assertEqual(service.query(STEP, [data.IncarnationId()]).ok_value, [])
