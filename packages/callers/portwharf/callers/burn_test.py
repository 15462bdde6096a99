# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Burn rates of an error budget, compared with manual calculations."""

from portwharf.callers import burn
from portwharf.core import clock
from portwharf.core import data
from portwharf.scheduler import configuration

TARGET = configuration.Target(200, 0.99)
SERVICE = 'lens/fit-check'


def make_counter():
    """Return a counter for one service with a target, and its clock."""
    manual_clock = clock.ManualClock(1_000_000)
    return burn.BurnRateCounter(
        manual_clock, {SERVICE: TARGET}.get
    ), manual_clock


def compute(counter, manual_clock):
    """Return the service's burn rates at the present time."""
    (service,) = counter.list_services()
    now = manual_clock.read_monotonic()
    return burn.compute_burn_rates(SERVICE, TARGET, service.buckets, now)


def test_late_and_unanswered_requests_are_bad(case):
    counter, manual_clock = make_counter()
    counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    counter.observe(SERVICE, data.Outcome.ANSWERED, 0.3)
    counter.observe(SERVICE, data.Outcome.NOT_RUN, 0.0)
    window = compute(counter, manual_clock).windows[0]
    case.assertEqual((window.total, window.bad), (3, 2))


def test_burn_rate_of_one_uses_up_exactly_the_budget(case):
    counter, manual_clock = make_counter()
    for number in range(1000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, number < 10)
    computed = compute(counter, manual_clock)
    case.assertAlmostEqual(computed.windows[0].rate, 1.0)
    case.assertAlmostEqual(computed.budget_left, 0.0)
    case.assertEqual(computed.exhausted_in, 0)


def test_short_burst_raises_the_rate_of_the_short_window(case):
    counter, manual_clock = make_counter()
    for _ in range(900):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    manual_clock.advance(3600)
    for _ in range(100):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.05)
    counter.observe(SERVICE, data.Outcome.FAILED, 0.05)
    computed = compute(counter, manual_clock)
    case.assertAlmostEqual(computed.windows[0].rate, 1 / 101 / 0.01)
    case.assertAlmostEqual(computed.windows[-1].rate, 1 / 1001 / 0.01)
    case.assertAlmostEqual(computed.budget_left, 1 - 1 / 10.01)


def test_exhaustion_of_the_budget_is_predicted(case):
    counter, manual_clock = make_counter()
    for number in range(1000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
    manual_clock.advance(3600)
    for number in range(10):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.3 * (number < 2))
    computed = compute(counter, manual_clock)
    left = 1 - 2 / 10.1
    case.assertEqual(
        computed.exhausted_in, int(left * burn.PERIOD_SECONDS / 20)
    )


def test_old_buckets_are_removed(case):
    counter, manual_clock = make_counter()
    for _ in range(3000):
        counter.observe(SERVICE, data.Outcome.ANSWERED, 0.1)
        manual_clock.advance(burn.BUCKET_SECONDS)
    (service,) = counter.list_services()
    max_buckets = burn.PERIOD_SECONDS // burn.BUCKET_SECONDS + 1
    case.assertLessEqual(len(service.buckets), max_buckets)
