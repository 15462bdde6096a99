# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The burn of an error budget, worked out by hand."""

from portwharf.callers import burn
from portwharf.core import clock
from portwharf.core import data
from portwharf.scheduler import configuration

TARGET = configuration.Target(200, 0.99)
SERVICE = 'lens/fit-check'


def make_counter():
    """Return a counter for one service with a target, and its clock."""
    now = clock.ManualClock(1_000_000)
    return burn.BurnCounter(now, {SERVICE: TARGET}.get), now


def compute(counter, now):
    """Return the service's burn as it is now."""
    (one,) = counter.list_services()
    seconds = now.read_monotonic()
    return burn.compute_burn(SERVICE, TARGET, one.buckets, seconds)


def test_late_and_lost_requests_are_bad(case):
    counter, now = make_counter()
    counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    counter.observe(SERVICE, data.Outcome.ANSWERED, 0.3)
    counter.observe(SERVICE, data.Outcome.NOT_RUN, 0.0)
    window = compute(counter, now).windows[0]
    case.assertEqual((window.total, window.bad), (3, 2))


def test_rate_of_one_uses_just_the_budget(case):
    counter, now = make_counter()
    for number in range(1000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, number < 10)
    made = compute(counter, now)
    case.assertAlmostEqual(made.windows[0].rate, 1.0)
    case.assertAlmostEqual(made.budget_left, 0.0)
    case.assertEqual(made.exhausted_in, 0)


def test_short_burst_shows_in_the_short_window(case):
    counter, now = make_counter()
    for _ in range(900):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    now.advance(3600)
    for _ in range(100):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.05)
    counter.observe(SERVICE, data.Outcome.FAILED, 0.05)
    made = compute(counter, now)
    case.assertAlmostEqual(made.windows[0].rate, 1 / 101 / 0.01)
    case.assertAlmostEqual(made.windows[-1].rate, 1 / 1001 / 0.01)
    case.assertAlmostEqual(made.budget_left, 1 - 1 / 10.01)


def test_end_of_the_budget_is_foretold(case):
    counter, now = make_counter()
    for number in range(1000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    now.advance(3600)
    for number in range(10):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.3 * (number < 2))
    made = compute(counter, now)
    left = 1 - 2 / 10.1
    case.assertEqual(made.exhausted_in, int(left * burn.PERIOD_SECONDS / 20))


def test_old_buckets_go(case):
    counter, now = make_counter()
    for _ in range(3000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
        now.advance(burn.BUCKET_SECONDS)
    (one,) = counter.list_services()
    most = burn.PERIOD_SECONDS // burn.BUCKET_SECONDS + 1
    case.assertLessEqual(len(one.buckets), most)
