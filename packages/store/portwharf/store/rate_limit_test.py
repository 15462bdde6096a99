# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls over the rate limit are delayed or refused."""

from portwharf.core import clock
from portwharf.store import rate_limit
from portwharf.testing import fixtures


def make_store(burst=5):
    """Return a store limited to ten calls a second, its fake and clock."""
    inner, fake = fixtures.make_store()
    manual_clock = clock.ManualClock()
    kv = rate_limit.RateLimitedStore(
        inner, manual_clock, rate=10.0, burst=burst
    )
    kv._delay.wait = manual_clock.advance
    return kv, fake, manual_clock


def test_burst_is_not_delayed(case):
    kv, fake, manual_clock = make_store()
    before = manual_clock.read_monotonic()
    for _ in range(5):
        case.assertTrue(kv.read('a').is_ok())
    case.assertEqual(manual_clock.read_monotonic(), before)


def test_calls_over_the_rate_are_delayed(case):
    kv, fake, manual_clock = make_store()
    before = manual_clock.read_monotonic()
    for _ in range(25):
        kv.read('a')
    case.assertAlmostEqual(manual_clock.read_monotonic() - before, 2.0)
    case.assertEqual(fake.reads, 25)


def test_call_is_not_made_if_the_delay_is_too_long(case):
    kv, fake, manual_clock = make_store()
    kv._delay.wait = lambda seconds: None
    answers = [kv.swap(f'k{n}', b'', 0) for n in range(100)]
    refused = [one.err_value for one in answers if one.is_err()]
    case.assertTrue(refused)
    case.assertFalse(any(error.unknown for error in refused))
    case.assertEqual(fake.writes, 100 - len(refused))


def test_all_kinds_of_calls_count(case):
    kv, fake, manual_clock = make_store(burst=4)
    kv.swap('a', b'', 0)
    kv.read_range('a', 'b')
    kv.delete_range('a', 'b')
    kv.read('a')
    before = manual_clock.read_monotonic()
    kv.read('a')
    case.assertGreater(manual_clock.read_monotonic(), before)
