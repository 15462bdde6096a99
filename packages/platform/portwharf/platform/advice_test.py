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
