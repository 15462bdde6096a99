# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry that leaves answers what still comes, and ends in its time."""

from portwharf.core import clock
from portwharf.entry import leaving

AWAY = 2.5
ANSWER = 4.5


def make_leaving():
    """Return the stop of an entry, and its clock."""
    now = clock.ManualClock()
    return leaving.Leaving(now, AWAY, ANSWER), now


def test_calls_have_their_usual_time_until_a_stop_is_asked_for(case):
    stop, now = make_leaving()
    now.advance(100)
    case.assertFalse(stop.is_asked)
    case.assertEqual(stop.limit(2.0), 2.0)


def test_calls_that_come_late_are_answered_before_the_end(case):
    stop, now = make_leaving()
    stop.ask()
    case.assertEqual(stop.limit(2.0), 2.0)
    now.advance(4.0)
    case.assertEqual(stop.limit(2.0), 0.5)
    now.advance(5.0)
    case.assertEqual(stop.limit(2.0), leaving.LEAST_SECONDS)


def test_second_asking_does_not_move_the_end(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(ANSWER)
    stop.ask()
    case.assertTrue(stop.is_over())


def test_entry_that_nobody_calls_ends_once_the_balancer_knows(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(AWAY - 0.1)
    case.assertFalse(stop.is_over())
    now.advance(0.2)
    case.assertTrue(stop.is_over())


def test_entry_goes_on_while_calls_come_or_are_carried_out(case):
    stop, now = make_leaving()
    stop.ask()
    now.advance(AWAY)
    with stop.carry_out():
        now.advance(1.0)
        case.assertFalse(stop.is_over())
    case.assertTrue(stop.is_over())
    with stop.carry_out():
        pass
    case.assertFalse(stop.is_over())
    now.advance(leaving.QUIET_SECONDS)
    case.assertTrue(stop.is_over())


def test_call_that_hangs_does_not_hold_the_end_up(case):
    stop, now = make_leaving()
    stop.ask()
    with stop.carry_out():
        now.advance(ANSWER)
        case.assertTrue(stop.is_over())
        stop.wait_until_over()


def test_end_counts_from_the_asking_and_not_from_the_hearing(case):
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
