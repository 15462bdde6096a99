# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side does not know the size of is not taken for nothing.

The platform's runner lists an attempt without its size, and may not guard
its own capacity. A side gets the sizes with its orders, and after a restart
from the owner: of what the VM holds by the log. An attempt that the log has
given up is in neither, but runs on until its stop has taken effect.
"""

import result

from portwharf.core import data
from portwharf.testing import cluster


def make_forgetful(node):
    """Have a node's worker list sizes of what this life was told of."""
    worker = node.worker
    known = set()
    read, begin = worker.read_listing, worker.start

    def note(start):
        known.add((start.task, start.attempt))

    def start(order):
        note(order)
        return begin(order)

    def read_listing():
        listed = read()
        for attempt in listed.ok_value.attempts:
            if (attempt.task, attempt.attempt) not in known:
                attempt.resources = data.Resources()
        return listed

    worker.read_listing = read_listing
    worker.start = start
    worker.recall = note
    return known


def test_room_of_what_the_log_gave_up_is_not_given_twice(case):
    """No VM holds more than it can while a given-up attempt is stopped.

    Order of events: a VM's side is away for longer than ``unreachable``;
    its tasks, which are not exclusive, are given up; a new process begins
    there, and what waits is placed before the stops have taken effect.
    """
    made = cluster.Cluster(3)
    made.submit(6, overlap_allowed=True)
    made.run(4)
    node = made.nodes[2]
    known = make_forgetful(node)
    stop, wanted = node.worker.stop, []

    def hold_back(*order):
        wanted.append(order)
        return result.Ok(None)

    node.worker.stop = hold_back
    node.paused = True
    made.break_pipes(node)
    made.submit(2, overlap_allowed=True, importance=100)
    made.run(cluster.LIMITS.unreachable + 2)
    known.clear()
    node.paused = False
    made.restart_side(node)
    made.run(4)
    case.assertTrue(wanted)
    node.worker.stop = stop
    made.settle()
    made.check_end()
