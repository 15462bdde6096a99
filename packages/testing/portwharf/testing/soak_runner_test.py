# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Runners of the soak test."""

import itertools
import json
from unittest import mock

from portwharf.testing import soak_runner

TASK = '00000000000000aa.0.0.0'
OTHER_TASK = '00000000000000aa.0.0.1'
LEASE_SECONDS = 6


def test_crasher_does_not_succeed_because_its_crash_is_late(case):
    delay = '_CRASH_DELAY_SECONDS'
    case.enterContext(mock.patch.object(soak_runner, delay, 3600))
    runner = soak_runner.SoakRunner('runner', '', '', 1.0)
    body = {
        'task': TASK,
        'run': 1,
        'spec': json.dumps({'steps': [{'ms': 0, 'crashes': True}]}),
        'untilMs': runner.read_ms() + 60_000,
        'fence': 0,
    }
    with runner._lock:
        case.assertEqual(runner._start(body)[0], 200)
        (span,) = runner.record
        runner._end_if_done(span)
        case.assertEqual(runner.running, {TASK: 1})


def test_lost_runner_carries_out_no_order_that_was_under_way(case):
    runner = soak_runner.SoakRunner('runner', '', '', 1.0)
    body = {
        'task': TASK,
        'run': 1,
        'spec': json.dumps({'steps': [{'ms': 60_000}]}),
        'untilMs': runner.read_ms() + 60_000,
        'fence': 0,
    }
    with runner._lock:
        case.assertEqual(
            runner._execute('run-start', body, runner.instance)[0], 200
        )
    runner.lose()
    with runner._lock:
        status, _ = runner._execute(
            'run-start', {**body, 'run': 2}, runner.instance
        )
    case.assertEqual(status, 503)
    case.assertEqual([span.how for span in runner.record], ['crashed'])


class ManualTime:
    """The functions of ``time`` that runners use; a test advances it."""

    def __init__(self):
        self._now = 1000.0

    def monotonic(self):
        """Return the time, in seconds."""
        return self._now

    def sleep(self, seconds):
        """Let some seconds pass."""
        self._now += seconds


class ManualRunner:
    """A runner that a test sends orders to and moves on in time."""

    def __init__(self, case):
        self._time = ManualTime()
        for name, value in (('time', self._time), ('_UNANSWERED_SECONDS', 0)):
            case.enterContext(mock.patch.object(soak_runner, name, value))
        self.runner = soak_runner.SoakRunner('runner', '', '', 1.0)

    def pass_time(self, seconds):
        """Let some seconds pass, one tick after the other."""
        for _ in range(round(seconds * 10)):
            self._time.sleep(0.1)
            with self.runner._lock:
                self.runner._run_tick()

    def order(self, name, **fields):
        """Send an order with a lease from now on; returns its status."""
        until_ms = self.runner.read_ms() + LEASE_SECONDS * 1000
        body = {'fence': 1, 'untilMs': until_ms, **fields}
        return self.runner.carry_out(name, body)

    def start(self, task=TASK, run=1, ms=60_000):
        """Send a start; returns its status."""
        spec = json.dumps({'steps': [{'ms': ms}]})
        return self.order('run-start', task=task, run=run, spec=spec)

    def list_hows(self):
        """Return how each run ended, '' for one that has not."""
        return [span.how for span in self.runner.record]


def test_acknowledgement_within_the_lease_counts_for_good(case):
    manual = ManualRunner(case)
    manual.start(ms=1000)
    manual.pass_time(5)
    manual.order('hold', ackedUpto=1)
    (span,) = manual.runner.record
    acked = span.acked
    case.assertIsNotNone(acked)
    manual.pass_time(2 * LEASE_SECONDS)
    manual.order('hold', ackedUpto=1)
    case.assertEqual(span.acked, acked)


def test_acknowledgement_after_a_lease_that_ended_idle_does_not_count(case):
    """Nothing ran when the lease expired, and it was renewed since."""
    manual = ManualRunner(case)
    manual.start(ms=1000)
    manual.pass_time(LEASE_SECONDS + 1)
    manual.order('hold')
    manual.order('hold', ackedUpto=1)
    case.assertIsNone(manual.runner.record[0].acked)


def test_late_renewal_does_not_revive_runs(case):
    """The renewal arrives before the tick that notices the lapse."""
    manual = ManualRunner(case)
    manual.start()
    manual._time.sleep(LEASE_SECONDS + 0.01)
    manual.order('hold')
    case.assertEqual(manual.list_hows(), ['lapsed'])


def test_start_of_a_hang_is_carried_out_under_a_later_lease(case):
    manual = ManualRunner(case)
    manual.runner.hang_at_next_start(LEASE_SECONDS + 1, 2)
    case.assertEqual(manual.start(), 500)
    case.assertTrue(manual.runner._is_silent)
    manual.pass_time(LEASE_SECONDS + 1.1)
    case.assertFalse(manual.runner._is_silent)
    manual.order('hold')
    case.assertEqual(manual.runner.record, [])
    manual.pass_time(2)
    case.assertEqual(manual.list_hows(), [''])
    case.assertEqual(manual.runner.record[0].late_seconds, LEASE_SECONDS + 3)


def test_start_of_a_hang_is_refused_for_a_newer_token_stop_or_lapse(case):
    for order, fields in (
        ('hold', {'fence': 2}),
        ('run-stop', {'task': TASK, 'run': 1}),
        ('hold', {'untilMs': 0}),
    ):
        with case.subTest(order=order, fields=fields):
            manual = ManualRunner(case)
            manual.runner.hang_at_next_start(LEASE_SECONDS + 1, 2)
            manual.start()
            manual.pass_time(LEASE_SECONDS + 1.1)
            manual.order(order, **fields)
            manual.pass_time(3)
            case.assertEqual(manual.runner.record, [])


def test_start_beside_another_run_of_its_task_is_recorded_as_overlap(case):
    """The replaced run was taken for one that never ends."""
    manual = ManualRunner(case)
    manual.start(run=3)
    manual.pass_time(1)
    manual._time.monotonic = itertools.count(1002, 0.01).__next__
    manual.start(run=2)
    case.assertEqual(manual.list_hows(), ['stopped', ''])
    higher, lower = manual.runner.record
    case.assertGreater(higher.ended, lower.began)


def test_start_under_way_does_not_renew_the_lease(case):
    manual = ManualRunner(case)
    manual.start(OTHER_TASK)
    manual.pass_time(4)
    manual.runner.hang_at_next_start(LEASE_SECONDS, 2)
    manual.start()
    manual.pass_time(3)
    case.assertEqual(manual.list_hows(), ['lapsed'])
