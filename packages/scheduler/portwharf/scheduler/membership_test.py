# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A new owner waits for its members, but not for one that is gone."""

import threading

import result

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
    soon = began + membership.MIN_SETTLE_SECONDS
    case.assertTrue(members.has_settled(soon))


def test_owner_that_few_have_joined_waits(case):
    members, began = open_members(4, 2)
    soon = began + membership.MIN_SETTLE_SECONDS
    case.assertFalse(members.has_settled(soon))
    case.assertTrue(members.has_settled(began + membership.MAX_SETTLE_SECONDS))


def test_side_is_greeted_while_the_vm_list_is_slow(case):
    """A connection does not wait for what the deciding thread waits for.

    Until it has told what the VM holds, an owner hears no heartbeat there,
    and a VM that is not heard for long enough is given up.
    """
    made = cluster.Cluster(3)
    owner = made.nodes[0].owner
    reading, greeted, go_on = (threading.Event() for _ in range(3))

    def read():
        reading.set()
        go_on.wait(10)
        return result.Err('slow')

    def greet_side():
        owner.make_held('vm-01')
        greeted.set()

    made.listing.read = read
    made.time.advance(membership.VM_LIST_INTERVAL_SECONDS)
    threads = [
        threading.Thread(target=target) for target in (owner.step, greet_side)
    ]
    threads[0].start()
    case.assertTrue(reading.wait(10))
    threads[1].start()
    in_time = greeted.wait(1)
    go_on.set()
    for thread in threads:
        thread.join()
    case.assertTrue(in_time)
