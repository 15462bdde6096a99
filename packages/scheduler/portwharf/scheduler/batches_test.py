# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Commands and reports belong to one connection of one link."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import ownership_test
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


def test_refusal_from_a_replaced_link_starts_no_other_attempt(case):
    made = ownership_test.make_cluster()
    owner = next(node.owner for node in made.nodes if node.owner is not None)
    node = made.nodes[2]
    (task,) = ownership_test.list_running(node)
    replaced = cluster_fakes.ManualLink(node.vm, owner)
    refused = messages.TaskReport(task, 1, data.RunState.REFUSED)
    owner.take_reports(replaced, messages.Reports(reports=[refused]))
    made.run(2)
    case.assertEqual(ownership_test.count_runs(made), 3)
