# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A restarted side knows what it is that runs beside it.

What users saw: after the process of one side had been killed and started
again, urgent tasks on its VM stayed over their target for 4 s and more,
and later work that could wait, placed beside them, ran at full speed.

Order of events: tasks that serve run on a VM; its side's process ends and
begins anew, while they go on; filling tasks are placed there and press on
them; no order to pace is given.

Cause: a side learnt that a task serves, or fills, only from the order that
began it, and forgot it with its process. To a restarted side all that ran
before was nothing in particular: it had no target to look at, and did not
know of shares that its predecessor had set.

Evidence: of eleven sides only the one that had restarted had such tasks;
its log had six running tasks that it was not told of, and no line of a
target missed, while all others that missed one had paced within 2.1 s.
"""

from portwharf.core import data
from portwharf.side import pacing
from portwharf.testing import cluster

SIZE = data.Resources(500, 400)
TARGET_MS = 20


def make_cluster():
    """Return a cluster with a serving task on each VM."""
    made = cluster.Cluster(3)
    made.submit(
        3,
        kind=data.Kind.STANDING,
        resources=SIZE,
        program='desk',
        target_ms=TARGET_MS,
        most_per_vm=1,
    )
    made.run(4)
    return made


def fill(made):
    """Place a filling task beside each serving one."""
    made.submit(3, resources=SIZE, program='plan', fills=True, most_per_vm=1)
    made.run(2)


def set_tails(made, tail_ms):
    """Have all serving tasks be listed with a tail."""
    for node in made.nodes:
        for run in node.worker.runs:
            node.worker.tails[run.attempt.task] = tail_ms


def find_pace(node):
    """Return the share that the filling task of a node works at."""
    (pace,) = [
        node.worker.paces.get((run.attempt.task, run.attempt.attempt), 100)
        for run in node.worker.runs
        if run.attempt.task.startswith(find_filling(node))
    ]
    return pace


def find_filling(node):
    """Return the id of the workload that was placed last on a node."""
    return node.worker.record[-1].attempt.task.rpartition('.')[0]


def test_restarted_side_paces_beside_servers_begun_before(case):
    made = make_cluster()
    node = made.nodes[2]
    made.restart_side(node)
    made.run(4)
    set_tails(made, TARGET_MS + 10)
    fill(made)
    made.run(4)
    case.assertLessEqual(find_pace(made.nodes[1]), pacing.LEAST)
    case.assertLessEqual(find_pace(node), pacing.LEAST)


def test_restarted_side_takes_back_a_pace_set_before(case):
    made = make_cluster()
    node = made.nodes[2]
    fill(made)
    set_tails(made, TARGET_MS + 10)
    made.run(4)
    made.restart_side(node)
    set_tails(made, 1)
    made.run(8)
    case.assertEqual(find_pace(made.nodes[1]), pacing.FULL)
    case.assertEqual(find_pace(node), pacing.FULL)


def test_restarted_side_knows_what_was_begun_in_an_outage(case):
    """What was committed ahead and begun while the store was down is told.

    Order of events: the store is down, an append is stalled, and the owner
    begins a prepared task; its VM's side restarts; the store comes back and
    the attempt is logged as placed.
    """
    made = cluster.Cluster(3)
    made.submit(10)
    made.run(4)
    made.standin.faults.down = True
    made.submit(1)
    made.run(2)
    made.finish_running()
    made.run(5)
    node = made.nodes[1]
    running = [run.attempt for run in node.worker.runs if run.running]
    case.assertTrue(running)
    made.restart_side(node)
    made.standin.faults.down = False
    made.run(4)
    case.assertFalse(node.server.agent._pacer.has_unknown_attempts)
    known = node.server.agent._pacer._traits
    known.set_running(running)
    case.assertEqual(known.unknown, [])
