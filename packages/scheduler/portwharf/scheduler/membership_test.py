# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A new owner waits for its members, but not for one that is gone."""

from portwharf.scheduler import membership
from portwharf.testing import cluster


def open_members(size, granted):
    """Return the membership of a new owner that so many have joined."""
    made = cluster.Cluster(size)
    made.run(4)
    members = made.list_owners()[0].owner._members
    for number, link in enumerate(members.list_links()):
        link.view.granted = number < granted
    return members, members._began


def test_owner_that_all_have_joined_begins_at_once(case):
    members, began = open_members(4, 4)
    case.assertTrue(members.has_settled(began))


def test_one_that_is_gone_is_waited_for_a_moment(case):
    members, began = open_members(4, 3)
    case.assertFalse(members.has_settled(began))
    soon = began + membership.SETTLE_MOST_SECONDS
    case.assertTrue(members.has_settled(soon))


def test_owner_that_few_have_joined_waits(case):
    members, began = open_members(4, 2)
    soon = began + membership.SETTLE_MOST_SECONDS
    case.assertFalse(members.has_settled(soon))
    case.assertTrue(members.has_settled(began + membership.SETTLE_SECONDS))
