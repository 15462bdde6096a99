# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The client of a worker against a fake worker."""

import threading
import time

from portwharf.core import data
from portwharf.testing import fixtures
from portwharf.testing import programs
from portwharf.testing import worker
from portwharf import workers

CAPACITY = data.Resources(4000, 8000, 1)
# Never set; its ``wait`` separates two polls.
POLL = threading.Event()


def open_worker(case):
    """Return a client and the fake worker that it is connected to."""
    fake = worker.FakeWorkerService(CAPACITY)
    case.addCleanup(fake.close)
    port = fixtures.serve(case, fake)
    client = case.enterContext(workers.HttpWorker('127.0.0.1', port))
    return client, fake


def make_start(**fields):
    """Return the start of a short task, with some fields replaced."""
    values = {'task': 'w.3', 'attempt': 1, 'program': 'plan'}
    values |= {'argument': b'20 0.001', 'resources': data.Resources(1000, 1)}
    return workers.Start(**{**values, **fields})


def wait_for_end(client):
    """Wait until the only attempt has ended and return it."""
    while True:
        (attempt,) = client.read_listing().ok_value.attempts
        if attempt.state != data.RunState.RUNNING:
            return attempt
        POLL.wait(0.01)


def test_task_computes_its_result(case):
    client, _ = open_worker(case)
    case.assertEqual(client.start(make_start()).ok_value, '')
    attempt = wait_for_end(client)
    case.assertEqual(attempt.state, data.RunState.SUCCEEDED)
    expected = str(programs.compute_task(3, 20)).encode()
    case.assertEqual(attempt.result, expected)


def test_repeated_start_runs_the_attempt_once(case):
    client, fake = open_worker(case)
    client.start(make_start())
    client.start(make_start())
    case.assertEqual(len(fake.spans), 1)


def test_resumed_task_computes_the_same_result(case):
    client, _ = open_worker(case)
    client.start(make_start(argument=b'40 0.02'))
    client.stop('w.3', 1, True)
    stopped = wait_for_end(client)
    case.assertEqual(stopped.state, data.RunState.CHECKPOINTED)
    client.forget('w.3', 1)
    resumed = make_start(attempt=2, checkpoint=stopped.checkpoint)
    resumed.argument = b'40 0.001'
    client.start(resumed)
    expected = str(programs.compute_task(3, 40)).encode()
    case.assertEqual(wait_for_end(client).result, expected)


def test_task_is_stopped_when_its_lease_expires(case):
    client, _ = open_worker(case)
    until = client.read_listing().ok_value.now_ms + 100
    client.start(make_start(argument=b'9999 0.01', lease_until_ms=until))
    case.assertEqual(wait_for_end(client).state, data.RunState.GONE)


def test_late_renewal_does_not_restart_a_stopped_task(case):
    client, _ = open_worker(case)
    until = client.read_listing().ok_value.now_ms + 50
    client.start(make_start(argument=b'9999 0.01', lease_until_ms=until))
    wait_for_end(client)
    client.renew(until + 100_000)
    case.assertEqual(wait_for_end(client).state, data.RunState.GONE)


def test_start_with_an_expired_lease_is_refused(case):
    client, fake = open_worker(case)
    past = int(time.monotonic() * 1000) - 1
    case.assertTrue(client.start(make_start(lease_until_ms=past)).ok_value)
    case.assertEqual(fake.spans, [])


def test_failed_attempt_has_a_reason(case):
    client, _ = open_worker(case)
    client.start(make_start(program='fail'))
    attempt = wait_for_end(client)
    case.assertEqual(attempt.state, data.RunState.FAILED)
    case.assertIn('failed', attempt.reason)


def test_listing_contains_capacity_and_resources(case):
    client, _ = open_worker(case)
    client.start(make_start(kind=data.Kind.SERVICE, workload='lens/fit'))
    listing = client.read_listing().ok_value
    case.assertEqual(listing.capacity, CAPACITY)
    case.assertEqual(listing.attempts[0].workload, 'lens/fit')
    case.assertEqual(listing.attempts[0].resources.cpu_milli, 1000)


def test_unreachable_worker_is_an_error(case):
    client = case.enterContext(workers.HttpWorker('127.0.0.1', 1))
    case.assertTrue(client.read_listing().is_err())


def open_odd_worker(case, raw):
    """Return the client of a worker that always answers with a body."""

    def answer(environ, start_response):
        start_response('200 OK', [('Content-Length', str(len(raw)))])
        return [raw]

    port = fixtures.serve(case, answer)
    return case.enterContext(workers.HttpWorker('127.0.0.1', port))


def test_odd_listing_is_an_error(case):
    """Guards against an agent that ends by one listing (incident 0035)."""
    large = b'9' * 400
    odd = (
        b'[' * 60_000,
        b'[]',
        b'7',
        b'{"attempts": 7}',
        b'{"attempts": [7]}',
        b'{"attempts": [{"result": 7}]}',
        b'{"now_ms": ' + large + b'}',
        b'{"attempts": [{"attempt": ' + large + b'}]}',
        b'{"attempts": [{"task": "\\ud800"}]}',
    )
    for raw in odd:
        client = open_odd_worker(case, raw)
        case.assertTrue(client.read_listing().is_err(), raw[:60])
    for raw in (b'{"refused": []}', b'{"refused": "\\ud800"}'):
        client = open_odd_worker(case, raw)
        case.assertTrue(client.start(make_start()).ok_value.encode())
