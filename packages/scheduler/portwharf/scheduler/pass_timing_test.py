# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The log line of a slow pass."""

from portwharf.core import clock
from portwharf.scheduler import pass_timing

LOGGER = 'portwharf.scheduler.pass_timing'


def test_slow_pass_is_logged_with_its_parts(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    timer.start()
    for part, seconds in (('place', 0.25), ('send', 1.5), ('place', 0.5)):
        time.advance(seconds)
        timer.mark(part)
    with case.assertLogs(LOGGER) as watched:
        timer.finish(items=3, events=7)
    logged = watched.records[0]
    case.assertEqual(logged.parts_ms, {'place': 750, 'send': 1500})
    case.assertEqual((logged.took_ms, logged.items), (2250, 3))


def test_quick_pass_is_not_logged(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    timer.start()
    time.advance(0.25)
    timer.mark('place')
    with case.assertNoLogs(LOGGER):
        timer.finish(items=3, events=7)


def test_rest_of_a_pass_is_estimated_by_the_last_one(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    case.assertEqual(timer.estimate_left_seconds(), 0)
    timer.start()
    time.advance(2)
    # There is no earlier pass to go by.
    case.assertEqual(timer.estimate_left_seconds(), 0)
    timer.finish(0, 0)
    case.assertEqual(timer.estimate_left_seconds(), 0)
    timer.start()
    time.advance(0.5)
    case.assertEqual(timer.estimate_left_seconds(), 1.5)
    timer.finish(0, 0)
    case.assertEqual(timer.estimate_left_seconds(), 0)


def test_pass_that_never_ends_is_not_expected_to_go_on(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    timer.start()
    time.advance(2)
    timer.finish(0, 0)
    timer.start()
    time.advance(2)
    for _ in range(3):
        case.assertEqual(timer.estimate_left_seconds(), 0)
        time.advance(1000)


def test_pass_that_was_held_up_says_nothing_of_the_next(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    for seconds, is_typical in ((2, True), (60, False)):
        timer.start()
        time.advance(seconds)
        timer.finish(0, 0, is_typical)
    timer.start()
    case.assertEqual(timer.estimate_left_seconds(), 2)
