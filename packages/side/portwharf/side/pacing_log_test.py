# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The log lines of pacing tell the causes of a missed target apart."""

import logging

import result

from portwharf.side import pacing
from portwharf.side import pacing_log
from portwharf import workers


def make_attempt(tail_ms=30, task='s.0'):
    """Return a serving attempt with a tail latency."""
    return workers.Attempt(task, 1, tail_ms=tail_ms)


def list_lines(case, act):
    """Return the messages that a function logs."""
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        act()
    return [record.getMessage() for record in caught.records]


def test_unknown_attempts_are_logged_once_and_when_known(case):
    log = pacing_log.PacingLog()

    def act():
        for _ in range(3):
            log.report_unknown([make_attempt()])
        log.report_unknown([])

    lines = list_lines(case, act)
    case.assertEqual(
        lines,
        [
            'unknown attempts running',
            'no unknown attempts left',
        ],
    )


def test_long_target_miss_is_logged_at_start_and_end(case):
    log = pacing_log.PacingLog()

    def act():
        for now in (0.0, 0.4, 0.8, 1.2, 1.6):
            log.record_tail(make_attempt(30), 20, 0.5, 1, now)
        log.record_tail(make_attempt(10), 20, 0.5, 1, 2.0)

    lines = list_lines(case, act)
    case.assertEqual(
        lines, ['latency target missed', 'latency target met again']
    )


def test_short_target_miss_is_not_logged(case):
    log = pacing_log.PacingLog()
    with case.assertNoLogs(pacing_log.LOG):
        log.record_tail(make_attempt(30), 20, 0.5, 1, 0.0)
        log.record_tail(make_attempt(10), 20, 0.5, 1, 0.4)
        log.record_tail(make_attempt(30), 20, 0.5, 1, 0.8)


def test_failed_throttle_commands_are_counted_and_logged_rarely(case):
    log = pacing_log.PacingLog()
    pace = pacing.Pace('f.0', 1, 10)

    def act():
        for now in (0.0, 0.1, 0.2, 1.5):
            log.record_throttle(pace, result.Err('timed out'), now)

    case.assertEqual(
        list_lines(case, act), ['throttle command failed: timed out'] * 2
    )
