# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Random walks in which several faults strike standing tasks at once."""

from portwharf.testing import standing_walk


def test_standing_tasks_run_again_after_several_faults_at_once(case):
    """In 48, a crash suspect was held back for 13.6 s though VMs had room."""
    for seed in (1, 2, 48):
        with case.subTest(seed=seed):
            standing_walk.StandingWalk(seed).run()
