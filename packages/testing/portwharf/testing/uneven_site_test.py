# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What jobs earn where VMs suit filling tasks very differently."""

from portwharf.testing import overload_day
from portwharf.testing import uneven_site

SEEDS = range(4)


def test_more_jobs_are_in_time_on_uneven_vms(case):
    without = uneven_site.simulate(SEEDS, uneven_site.LOADS[0], False)
    result = uneven_site.simulate(SEEDS, uneven_site.LOADS[0])
    case.assertEqual(result.jobs, without.jobs)
    case.assertGreater(result.in_time, 1.05 * without.in_time)
    case.assertGreater(result.share, 1.05 * without.share)


def test_nothing_changes_where_vms_are_alike(case):
    sites = ((overload_day.LARGE_VMS, 1.3), (overload_day.SMALL_VMS, 0.35))
    for site, load in sites:
        results = [
            uneven_site.simulate(range(2), load, with_part, site)
            for with_part in (False, True)
        ]
        case.assertEqual(*results)
