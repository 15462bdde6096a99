# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The log lines of pacing tell the causes of a missed target apart."""

import logging

import prometheus_client
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


def read_filling_metrics():
    """Return what is asked for, what is used, and who has the least share."""
    registry = prometheus_client.REGISTRY
    name = 'portwharf_side_filling_milli'
    return (
        registry.get_sample_value(name, {'amount': 'asked'}),
        registry.get_sample_value(name, {'amount': 'used'}),
        registry.get_sample_value('portwharf_side_least_share_attempts'),
    )


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


def test_end_of_a_target_miss_tells_the_longest_gap_between_polls(case):
    log = pacing_log.PacingLog()
    log.record_tail(make_attempt(10), 20, 1.0, 1, 0.0, 400)
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        for now, used_milli in ((5.0, 400), (5.5, 300), (7.25, 12)):
            log.record_tail(make_attempt(30), 20, 0.5, 1, now, used_milli)
        log.record_tail(make_attempt(10), 20, 0.5, 1, 7.5, 0)
    last = caught.records[-1]
    case.assertEqual(
        (last.took_ms, last.gap_ms, last.used_milli), (2500, 1750, 12)
    )


def test_short_target_miss_is_not_logged(case):
    log = pacing_log.PacingLog()
    with case.assertNoLogs(pacing_log.LOG):
        log.record_tail(make_attempt(30), 20, 0.5, 1, 0.0)
        log.record_tail(make_attempt(10), 20, 0.5, 1, 0.4)
        log.record_tail(make_attempt(30), 20, 0.5, 1, 0.8)


def test_throttled_filling_tasks_are_logged_rarely(case):
    log = pacing_log.PacingLog()
    state = pacing_log.FillingState(
        count=4,
        throttled=3,
        least=2,
        asked_milli=7200,
        used_milli=1900,
        tail_ratio=0.625,
        throttle=0.5,
    )
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        for number in range(26):
            log.record_filling(state, 0.4 * number)
    case.assertEqual(
        [record.getMessage() for record in caught.records],
        ['filling tasks throttled'] * 2,
    )
    record = caught.records[0]
    case.assertEqual((record.count, record.throttled, record.least), (4, 3, 2))
    case.assertEqual((record.asked_milli, record.used_milli), (7200, 1900))
    case.assertEqual((record.tail_percent, record.percent), (62, 50))


def test_throttled_filling_tasks_are_logged_with_means_of_the_polls(case):
    log = pacing_log.PacingLog()
    rows = [({'a': 600}, 0.5), ({'a': 200, 'b': 500}, 0.1), ({'b': 100}, 0.3)]
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        for number, (limits, headroom) in enumerate(rows):
            state = pacing_log.FillingState(2, 1, headroom=headroom)
            state.limits.update(limits)
            log.record_filling(state, 2.6 * number)
    record = caught.records[-1]
    case.assertEqual((record.polls, record.headroom_percent), (2, 20))
    case.assertEqual(record.unmet_milli, {'a': 100, 'b': 300})


def test_filling_tasks_at_their_full_share_are_not_logged(case):
    log = pacing_log.PacingLog()
    state = pacing_log.FillingState(count=4, asked_milli=7200, used_milli=7200)
    with case.assertNoLogs(pacing_log.LOG):
        log.record_filling(state, 0.0)


def test_filling_metrics_follow_each_poll(case):
    log = pacing_log.PacingLog()
    state = pacing_log.FillingState(3, 2, 1, asked_milli=900, used_milli=300)
    log.record_filling(state, 0.0)
    case.assertEqual(read_filling_metrics(), (900, 300, 1))
    log.record_filling(pacing_log.FillingState(), 0.4)
    case.assertEqual(read_filling_metrics(), (0, 0, 0))


def test_failed_throttle_commands_are_counted_and_logged_rarely(case):
    log = pacing_log.PacingLog()
    pace = pacing.Pace('f.0', 1, 10)

    def act():
        for now in (0.0, 0.1, 0.2, 1.5):
            log.record_throttle(pace, result.Err('timed out'), now)

    case.assertEqual(
        list_lines(case, act), ['throttle command failed: timed out'] * 2
    )
