# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gaps between placements are found in logs, with ownership events."""

from portwharf.testing import placement_gaps

LOG = """\
built in 0.4 s
  7.9000 side-1 {"message": "placed"}
  8.0000 side-1 {"message": "placed"}
  9.2000 side-2 {"message": "owner begins"}
  9.3000 side-2 {"message": "placed"}
  9.4000 side-2 {"message": "plac
"""


def test_gap_is_found_with_its_ownership_events(case):
    (gap,) = placement_gaps.find_gaps(
        placement_gaps.read_lines(LOG.splitlines())
    )
    case.assertEqual((gap.began, gap.ended), (8.0, 9.3))
    case.assertEqual([line.process for line in gap.events], ['side-2'])


def test_usual_gaps_are_skipped(case):
    lines = placement_gaps.read_lines(LOG.splitlines())
    case.assertEqual(placement_gaps.find_gaps(lines, 2.0), [])
