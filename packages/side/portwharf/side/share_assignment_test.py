# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Headroom is shared out by precedence, and each share has one limit."""

from portwharf.peers import messages
from portwharf.scheduler.decisions import tail_interference
from portwharf.side import share_assignment
from portwharf.side import share_limits


def assign(headroom, *images, throttle_factor=1.0, deviation=0.0):
    """Return (percent, limit) of a task of each image, by precedence.

    Each asks for a quarter of the VM; the press of image "p8" is 8.
    """
    presses = tail_interference.TailInterferenceModel()
    presses.replace_estimates(
        messages.Press('desk', image, float(image[1:]), deviation)
        for image in images
    )
    ranked = [(image, image, 0.25) for image in images]
    shares = share_assignment.assign_shares(
        ranked, {'desk': headroom}, presses, throttle_factor
    )
    return [(shares[i].percent, shares[i].limit) for i in images]


def test_first_ranked_task_gets_its_share_before_the_others(case):
    case.assertEqual(
        assign(0.6, 'p1', 'p2', 'p4'),
        [
            (100, share_limits.NONE),
            (30, share_limits.KNOWN_ESTIMATE),
            (3, share_limits.LEAST_SHARE),
        ],
    )


def test_share_by_an_estimate_without_measurements_is_told(case):
    (row,) = assign(0.5, 'p2', deviation=4.0)
    case.assertEqual(row, (50, share_limits.UNKNOWN_ESTIMATE))


def test_server_without_any_headroom_is_told(case):
    (row,) = assign(0.0, 'p2')
    case.assertEqual(row, (3, share_limits.TAIL_AT_TARGET))


def test_throttle_factor_is_told_where_it_takes_more_than_the_headroom(case):
    rows = assign(1.2, 'p1', 'p2', throttle_factor=0.5)
    case.assertEqual(rows, [(50, share_limits.THROTTLE_FACTOR)] * 2)
    (row,) = assign(0.1, 'p2', throttle_factor=0.8)
    case.assertEqual(row[1], share_limits.KNOWN_ESTIMATE)
