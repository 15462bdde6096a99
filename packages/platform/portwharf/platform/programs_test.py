# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry leaves within the platform's time."""

from portwharf.platform import programs


def test_leaving_counts_from_the_asking_and_not_from_the_hearing(case):
    case.assertEqual(programs.compute_leave(100.0, 100.0, 6.0), 4.5)
    case.assertEqual(programs.compute_leave(100.0, 103.0, 6.0), 1.5)
    case.assertEqual(programs.compute_leave(100.0, 109.0, 6.0), 0.0)
