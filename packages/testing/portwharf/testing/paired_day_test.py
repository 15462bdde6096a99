# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What jobs earn where interference differs between pairs of images."""

from portwharf.testing import overload_load
from portwharf.testing import paired_day
from portwharf.testing import paired_oracle

SEEDS = range(6)
LOAD = 0.6
# Share of the oracle's result. Its moves cost it as much, so the rest is what
# the owner cannot know: run times, failures and the headrooms to come.
MIN_ORACLE_SHARE = 0.75


def test_tasks_that_stand_still_do_not_keep_jobs_from_their_end(case):
    total, best = overload_load.Tally(), overload_load.Tally()
    for seed in SEEDS:
        total.add(paired_day.simulate(seed, LOAD))
        best.add(paired_oracle.simulate(paired_day.PairedDay(seed, LOAD)))
    case.assertEqual(total.jobs, best.jobs)
    text = f'{total.share:.2f}, oracle {best.share:.2f}'
    case.assertGreaterEqual(total.share, MIN_ORACLE_SHARE * best.share, text)
