# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The worker adapter against the stand-in worker."""

import threading
import time

from portwharf.core import data
from portwharf.testing import fixtures
from portwharf.testing import programs
from portwharf.testing import worker
from portwharf import workers

CAPACITY = data.Resources(4000, 8000, 1)
POLL = threading.Event()


def open_worker(case):
    """Return the adapter and the stand-in."""
    standin = worker.WorkerStandIn(CAPACITY)
    case.addCleanup(standin.close)
    port = fixtures.serve(case, standin)
    client = case.enterContext(workers.HttpWorker('127.0.0.1', port))
    return client, standin


def make_start(**fields):
    """Return the start of a short task."""
    values = {'task': 'w.3', 'attempt': 1, 'program': 'plan'}
    values |= {'argument': b'20 0.001', 'resources': data.Resources(1000, 1)}
    return workers.Start(**{**values, **fields})


def wait_for_end(client):
    """Return the first attempt once it does not run any longer."""
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
    right = str(programs.compute_task(3, 20)).encode()
    case.assertEqual(attempt.result, right)


def test_same_attempt_starts_once(case):
    client, standin = open_worker(case)
    client.start(make_start())
    client.start(make_start())
    case.assertEqual(len(standin.spans), 1)


def test_checkpoint_resumes_to_the_same_result(case):
    client, _ = open_worker(case)
    client.start(make_start(argument=b'40 0.02'))
    client.stop('w.3', 1, True)
    stopped = wait_for_end(client)
    case.assertEqual(stopped.state, data.RunState.CHECKPOINTED)
    client.forget('w.3', 1)
    again = make_start(attempt=2, checkpoint=stopped.checkpoint)
    again.argument = b'40 0.001'
    client.start(again)
    right = str(programs.compute_task(3, 40)).encode()
    case.assertEqual(wait_for_end(client).result, right)


def test_lease_that_is_not_renewed_ends_the_task(case):
    client, _ = open_worker(case)
    until = client.read_listing().ok_value.now_ms + 100
    client.start(make_start(argument=b'9999 0.01', lease_until_ms=until))
    case.assertEqual(wait_for_end(client).state, data.RunState.GONE)


def test_renewal_that_comes_late_does_not_revive(case):
    client, _ = open_worker(case)
    until = client.read_listing().ok_value.now_ms + 50
    client.start(make_start(argument=b'9999 0.01', lease_until_ms=until))
    wait_for_end(client)
    client.renew(until + 100_000)
    case.assertEqual(wait_for_end(client).state, data.RunState.GONE)


def test_start_after_its_lease_is_refused(case):
    client, standin = open_worker(case)
    past = int(time.monotonic() * 1000) - 1
    case.assertTrue(client.start(make_start(lease_until_ms=past)).ok_value)
    case.assertEqual(standin.spans, [])


def test_failing_program_says_why(case):
    client, _ = open_worker(case)
    client.start(make_start(program='fail'))
    attempt = wait_for_end(client)
    case.assertEqual(attempt.state, data.RunState.FAILED)
    case.assertIn('failed', attempt.reason)


def test_listing_tells_capacity_and_size(case):
    client, _ = open_worker(case)
    client.start(make_start(kind=data.Kind.SERVICE, workload='lens/fit'))
    listing = client.read_listing().ok_value
    case.assertEqual(listing.capacity, CAPACITY)
    case.assertEqual(listing.attempts[0].workload, 'lens/fit')
    case.assertEqual(listing.attempts[0].resources.cpu_milli, 1000)


def test_no_worker_is_told(case):
    client = case.enterContext(workers.HttpWorker('127.0.0.1', 1))
    case.assertTrue(client.read_listing().is_err())
