# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A command goes to the connection that it was decided for, or is lost."""

from portwharf.core import data
from portwharf.testing import cluster
from portwharf.testing import cluster_fakes

SMALL_MILLI = 500
FULL_MILLI = cluster_fakes.CAPACITY.cpu_milli


def test_refused_attempt_is_not_started_on_the_next_connection(case):
    """Two appends stall, a side reconnects and refuses, then restarts."""
    made = cluster.Cluster()
    made.run(8)
    first, other, node = made.nodes
    for small in (first, other):
        small.worker.resize(SMALL_MILLI)
    made.run(2)
    made.submit(1)
    first.pool.cut = True
    made.run(0.5)
    made.break_pipes(node)
    made.run(2)
    node.worker.resize(SMALL_MILLI)
    made.run(1)
    first.pool.cut = False
    first.owner.step(())
    made.submit(1, resources=data.Resources(FULL_MILLI, 100))
    first.pool.cut = True
    made.run(1)
    made.restart_side(node)
    node.worker.resize(FULL_MILLI)
    made.run(2)
    first.pool.cut = False
    other.worker.resize(FULL_MILLI)
    made.run(5)
    first_task = f'{made.list_accepted()[0]}.0'
    runs = [
        run
        for one in made.nodes
        for run in one.worker.record
        if run.attempt.task == first_task
    ]
    case.assertEqual(len(runs), 1)
