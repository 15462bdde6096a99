# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls over the budget wait, or are not made."""

from portwharf.core import clock
from portwharf.store import budget
from portwharf.testing import fixtures


def make_store(burst=5):
    """Return a store with ten calls a second, its stand-in and clock."""
    kv, standin = fixtures.make_store()
    now = clock.ManualClock()
    made = budget.BudgetedStore(kv, now, rate=10.0, burst=burst)
    made._pause.wait = now.advance
    return made, standin, now


def test_burst_goes_through_at_once(case):
    kv, standin, now = make_store()
    before = now.read_monotonic()
    for _ in range(5):
        case.assertTrue(kv.read('a').is_ok())
    case.assertEqual(now.read_monotonic(), before)


def test_more_than_the_rate_waits(case):
    kv, standin, now = make_store()
    before = now.read_monotonic()
    for _ in range(25):
        kv.read('a')
    case.assertAlmostEqual(now.read_monotonic() - before, 2.0)
    case.assertEqual(standin.reads, 25)


def test_too_long_a_wait_makes_no_call(case):
    kv, standin, now = make_store()
    kv._pause.wait = lambda seconds: None
    answers = [kv.swap(f'k{n}', b'', 0) for n in range(100)]
    refused = [one.err_value for one in answers if one.is_err()]
    case.assertTrue(refused)
    case.assertFalse(any(error.unknown for error in refused))
    case.assertEqual(standin.writes, 100 - len(refused))


def test_all_calls_count(case):
    kv, standin, now = make_store(burst=4)
    kv.swap('a', b'', 0)
    kv.read_range('a', 'b')
    kv.delete_range('a', 'b')
    kv.read('a')
    before = now.read_monotonic()
    kv.read('a')
    case.assertGreater(now.read_monotonic(), before)
