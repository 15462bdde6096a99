# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Attempts of unknown size do not count as free capacity.

The platform's runner lists an attempt without its size, and may not guard its
own capacity. A side gets the sizes with the commands that it carries out and,
after a restart, from the owner, for the tasks that the VM holds according to
the log. An attempt that the log has given up is in neither, but runs on until
its stop takes effect.
"""

import result

from portwharf.core import data
from portwharf.testing import cluster


def hide_unknown_sizes(node):
    """Have a worker list only the sizes that its current side sent."""
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
    worker.restore_start = note
    return known


def test_capacity_of_a_given_up_attempt_is_not_assigned_twice(case):
    """A VM is not overcommitted while a given-up attempt is stopping.

    Sequence: a VM's side is silent for longer than ``unreachable``; its tasks,
    which are not exclusive, are given up; a new side process starts there, and
    waiting tasks are placed before the stops take effect.
    """
    deployment = cluster.Cluster(3)
    deployment.submit(6, overlap_allowed=True)
    deployment.run(4)
    node = deployment.nodes[2]
    known = hide_unknown_sizes(node)
    stop, wanted = node.worker.stop, []

    def hold_back(*order):
        wanted.append(order)
        return result.Ok(None)

    node.worker.stop = hold_back
    node.paused = True
    deployment.break_pipes(node)
    deployment.submit(2, overlap_allowed=True, importance=100)
    deployment.run(cluster.LIMITS.unreachable + 2)
    known.clear()
    node.paused = False
    deployment.restart_side(node)
    deployment.run(4)
    case.assertTrue(wanted)
    node.worker.stop = stop
    deployment.settle()
    deployment.check_end()
