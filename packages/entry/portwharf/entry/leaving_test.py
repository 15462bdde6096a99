# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stopping entry answers late calls and exits in time."""

from portwharf.core import clock
from portwharf.entry import leaving

UNREADY_SECONDS = 2.5
ANSWER_SECONDS = 4.5


def make_leaving():
    """Return the shutdown tracker of an entry, and its clock."""
    now = clock.ManualClock()
    return leaving.Leaving(now, UNREADY_SECONDS, ANSWER_SECONDS), now


def test_calls_keep_their_time_limit_until_a_stop_is_requested(case):
    stop, now = make_leaving()
    now.advance(100)
    case.assertFalse(stop.is_asked)
    case.assertEqual(stop.limit(2.0), 2.0)


def test_late_calls_get_less_time(case):
    stop, now = make_leaving()
    stop.ask()
    case.assertEqual(stop.limit(2.0), 2.0)
    now.advance(4.0)
    case.assertEqual(stop.limit(2.0), 0.5)
    now.advance(5.0)
    case.assertEqual(stop.limit(2.0), leaving.MIN_CALL_SECONDS)


def test_second_request_does_not_move_the_end(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(ANSWER_SECONDS)
    stop.ask()
    case.assertTrue(stop.is_over())


def test_idle_entry_exits_once_the_balancer_has_noticed(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(UNREADY_SECONDS - 0.1)
    case.assertFalse(stop.is_over())
    now.advance(0.2)
    case.assertTrue(stop.is_over())


def test_entry_stays_up_while_calls_arrive_or_run(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(UNREADY_SECONDS)
    with stop.carry_out():
        now.advance(1.0)
        case.assertFalse(stop.is_over())
    case.assertTrue(stop.is_over())
    with stop.carry_out():
        pass
    case.assertFalse(stop.is_over())
    now.advance(leaving.QUIET_SECONDS)
    case.assertTrue(stop.is_over())


def test_hanging_call_does_not_delay_the_end(case):
    stop, now = make_leaving()
    stop.ask()
    with stop.carry_out():
        now.advance(ANSWER_SECONDS)
        case.assertTrue(stop.is_over())
        stop.wait_until_over()


def test_end_counts_from_the_request_to_stop(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(3.0)
    case.assertEqual(stop.limit(2.0), 1.5)
    with stop.carry_out():
        case.assertFalse(stop.is_over())
        now.advance(1.4)
        case.assertFalse(stop.is_over())
        now.advance(0.2)
        case.assertTrue(stop.is_over())
