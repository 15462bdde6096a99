# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What callers earn beside a greedy one, with and without fair shares."""

from portwharf.scheduler.decisions import shortage_shares
from portwharf.testing import overload_day
from portwharf.testing import overload_load
from portwharf.testing import overload_shares

SEEDS = range(6)
LOAD = 4.0
# What fairness may cost the queue, as a share of its worth.
MAX_COST = 0.02


def test_neighbours_of_a_greedy_caller_are_served_half_as_well(case):
    """Guards against a caller that displaces others by small jobs."""
    shares = shortage_shares.ShortageShares
    crowd = overload_load.Crowd()
    without, _ = overload_shares.simulate_days(SEEDS, load=LOAD, crowd=crowd)
    found, _ = overload_shares.simulate_days(
        SEEDS, load=LOAD, crowd=crowd, shares=shares
    )
    case.assertLess(without['neighbours'], 0.5 * without[''])
    case.assertGreaterEqual(found['neighbours'], 0.5 * found[''])
    case.assertGreater(found[''], without[''] - MAX_COST)


def test_zones_are_treated_like_callers(case):
    """Guards against a zone whose jobs only the other dimension protects."""
    shares = shortage_shares.ShortageShares
    by_caller, by_zone = (
        overload_shares.simulate_day(
            1, LOAD, overload_load.Crowd(dimension), shares
        )
        for dimension in ('caller', 'zone')
    )
    case.assertEqual(by_caller, by_zone)
    case.assertGreater(by_zone[1], 0)


def test_crowd_leaves_the_other_draws_unchanged(case):
    """Guards against days that can't be compared with those of one caller."""
    shape = overload_day.LARGE_VMS.wide
    crowd = overload_load.Crowd(greedy_share=0.5, greedy_scale=1.0)
    plain = overload_load.Clients(3, 1.0, 0.9, shape)
    crowded = overload_load.Clients(3, 1.0, 0.9, shape, crowd)
    callers = set()
    for now in range(40):
        one, other = plain.submit_jobs(now, 1.0), crowded.submit_jobs(now, 1.0)
        for submitted in other:
            callers.add(submitted.job.caller)
            submitted.job.caller = ''
        case.assertEqual(one, other)
    case.assertIn(overload_load.GREEDY, callers)
    case.assertGreater(len(callers), 2)
