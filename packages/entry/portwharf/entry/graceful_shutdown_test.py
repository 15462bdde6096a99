# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stopping entry answers late calls and exits in time."""

from portwharf.core import clock
from portwharf.entry import graceful_shutdown

UNREADY_SECONDS = 2.5
ANSWER_SECONDS = 4.5


def make_shutdown():
    """Return the shutdown tracker of an entry, and its clock."""
    now = clock.ManualClock()
    return graceful_shutdown.GracefulShutdown(
        now, UNREADY_SECONDS, ANSWER_SECONDS
    ), now


def test_calls_keep_their_time_limit_until_a_stop_is_requested(case):
    stop, now = make_shutdown()
    now.advance(100)
    case.assertFalse(stop.is_requested)
    case.assertEqual(stop.limit_seconds(2.0), 2.0)


def test_late_calls_get_less_time(case):
    stop, now = make_shutdown()
    stop.request_stop()
    case.assertEqual(stop.limit_seconds(2.0), 2.0)
    now.advance(4.0)
    case.assertEqual(stop.limit_seconds(2.0), 0.5)
    now.advance(5.0)
    case.assertEqual(
        stop.limit_seconds(2.0), graceful_shutdown.MIN_CALL_SECONDS
    )


def test_second_request_does_not_move_the_end(case):
    stop, now = make_shutdown()
    stop.request_stop()
    now.advance(ANSWER_SECONDS)
    stop.request_stop()
    case.assertTrue(stop.is_done())


def test_idle_entry_exits_once_the_balancer_has_noticed(case):
    stop, now = make_shutdown()
    stop.request_stop()
    now.advance(UNREADY_SECONDS - 0.1)
    case.assertFalse(stop.is_done())
    now.advance(0.2)
    case.assertTrue(stop.is_done())


def test_entry_stays_up_while_calls_arrive_or_run(case):
    stop, now = make_shutdown()
    stop.request_stop()
    now.advance(UNREADY_SECONDS)
    with stop.track_call():
        now.advance(1.0)
        case.assertFalse(stop.is_done())
    case.assertTrue(stop.is_done())
    with stop.track_call():
        pass
    case.assertFalse(stop.is_done())
    now.advance(graceful_shutdown.QUIET_SECONDS)
    case.assertTrue(stop.is_done())


def test_hanging_call_does_not_delay_the_end(case):
    stop, now = make_shutdown()
    stop.request_stop()
    with stop.track_call():
        now.advance(ANSWER_SECONDS)
        case.assertTrue(stop.is_done())
        stop.wait_until_done()


def test_end_counts_from_the_request_to_stop(case):
    stop, now = make_shutdown()
    stop.request_stop()
    now.advance(3.0)
    case.assertEqual(stop.limit_seconds(2.0), 1.5)
    with stop.track_call():
        case.assertFalse(stop.is_done())
        now.advance(1.4)
        case.assertFalse(stop.is_done())
        now.advance(0.2)
        case.assertTrue(stop.is_done())


def test_call_taken_as_an_idle_entry_ends_keeps_its_time_limit(case):
    stop, now = make_shutdown()
    stop.request_stop()
    now.advance(UNREADY_SECONDS + 0.1)
    case.assertEqual(stop.wait_until_done(), 0)
    # What the entry waits for its last calls covers the limit of each.
    case.assertEqual(stop.limit_seconds(10.0), stop.measure_time_left())
    now.advance(10.0)
    case.assertEqual(stop.measure_time_left(), 0.0)
