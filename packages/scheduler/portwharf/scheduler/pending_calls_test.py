# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls that wait for an owner's answer: time limits, and the owner's end."""

import concurrent.futures
import threading

import prometheus_client

from portwharf.core import clock
from portwharf.core import data
from portwharf.scheduler import pending_calls

TIMEOUT = pending_calls.CALL_TIMEOUT_SECONDS


class LeapingClock(clock.ManualClock):
    """A clock that advances by the time limit at each reading."""

    def read_monotonic(self):
        self.advance(TIMEOUT)
        return super().read_monotonic()


def make_calls():
    """Return pending calls without their thread, and their clock."""
    now = clock.ManualClock()
    return pending_calls.PendingCalls(now), now


def add(pending):
    """Add a call; returns its future and the list of its answers."""
    fut = concurrent.futures.Future()
    answers = []
    pending.add(fut, answers.append)
    return fut, answers


def list_codes(answers):
    """Return the codes of the problems that a call was answered with."""
    return [answer.err_value.code for answer in answers]


def test_call_that_was_not_begun_in_time_is_refused_for_good(case):
    pending, now = make_calls()
    fut, answers = add(pending)
    now.advance(TIMEOUT - 1)
    case.assertEqual(pending.expire(), 1)
    case.assertEqual(answers, [])
    now.advance(1)
    case.assertIsNone(pending.expire())
    case.assertEqual(list_codes(answers), ['not-accepted'])
    case.assertFalse(fut.set_running_or_notify_cancel())


def test_cancellation_that_was_not_begun_in_time_may_still_be(case):
    pending, now = make_calls()
    fut, answers = concurrent.futures.Future(), []
    pending.add(fut, answers.append, is_cancellation=True)
    now.advance(TIMEOUT)
    case.assertIsNone(pending.expire())
    case.assertEqual(list_codes(answers), ['outcome-unknown'])
    case.assertTrue(fut.set_running_or_notify_cancel())
    fut.set_result('done')
    case.assertEqual(len(answers), 1)


def test_outcome_of_a_call_whose_append_takes_long_is_unknown(case):
    pending, now = make_calls()
    fut, answers = add(pending)
    fut.set_running_or_notify_cancel()
    now.advance(TIMEOUT)
    pending.expire()
    case.assertEqual(list_codes(answers), ['outcome-unknown'])
    fut.set_result('done')
    case.assertEqual(len(answers), 1)


def test_calls_are_answered_as_they_end(case):
    pending, now = make_calls()
    first, answers = add(pending)
    second, refused = add(pending)
    first.set_result('done')
    second.set_result(data.Problem('unknown-id'))
    case.assertEqual([one.ok_value for one in answers], ['done'])
    case.assertEqual(list_codes(refused), ['unknown-id'])
    now.advance(TIMEOUT)
    case.assertIsNone(pending.expire())
    case.assertEqual((len(answers), len(refused)), (1, 1))


def test_end_of_an_owner_refuses_only_what_was_not_begun(case):
    pending, _ = make_calls()
    with pending:
        begun, answers = add(pending)
        begun.set_running_or_notify_cancel()
        _, refused = add(pending)
    case.assertEqual(list_codes(refused), ['not-accepted'])
    # It may be in the log: the next owner tells.
    case.assertEqual(answers, [])
    _, refused = add(pending)
    case.assertEqual(list_codes(refused), ['not-accepted'])


def test_calls_expire_without_a_pass(case):
    pending = pending_calls.PendingCalls(LeapingClock())
    case.enterContext(pending)
    answered = threading.Event()
    pending.add(concurrent.futures.Future(), lambda _: answered.set())
    case.assertTrue(answered.wait(10))


def test_wait_of_a_call_is_measured_from_its_receipt(case):
    def read_sum():
        return prometheus_client.REGISTRY.get_sample_value(
            'portwharf_owner_call_seconds_sum'
        )

    pending, now = make_calls()
    fut = concurrent.futures.Future()
    received_at = now.read_monotonic()
    now.advance(0.5)
    pending.add(fut, lambda answer: None, received_at)
    now.advance(1.5)
    before = read_sum()
    fut.set_result('done')
    pending.expire()
    case.assertAlmostEqual(read_sum() - before, 2.0)
