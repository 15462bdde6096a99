# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Workers whose capacity shrinks and grows while tasks run there.

These workers accept every start. A start that exceeds the capacity is a
violation, except shortly after a shrink that the side cannot know of yet.
"""

import result

from portwharf.core import data
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster
from portwharf.testing import fixtures

LASTS = {'kind': data.Kind.STANDING}


def count_running(made):
    """Return how many attempts run on each node."""
    return [len(ownership_test.list_running(node)) for node in made.nodes]


def resize(made, cpu_milli, nodes=None):
    """Set the processors of all workers, or of those of some nodes."""
    for node in nodes or made.nodes:
        node.worker.resize(cpu_milli)


def test_running_tasks_continue_when_capacity_shrinks(case):
    made = ownership_test.make_cluster(count=6)
    before = ownership_test.count_runs(made)
    resize(made, 500)
    made.run(10)
    case.assertEqual(count_running(made), [2, 2, 2])
    case.assertEqual(ownership_test.count_runs(made), before)


def test_no_start_exceeds_a_shrunk_capacity(case):
    made = cluster.Cluster(3)
    made.run(4)
    resize(made, 1000)
    made.run(4)
    made.submit(6)
    made.run(10)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_capacity_freed_after_a_shrink_is_not_reused(case):
    made = ownership_test.make_cluster(count=6)
    made.submit(6)
    resize(made, 1000)
    made.run(4)
    made.finish_running()
    made.run(5)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_new_owner_and_sides_use_the_shrunk_capacity(case):
    made = cluster.Cluster(3)
    made.run(4)
    resize(made, 1000)
    made.run(4)
    for node in made.nodes:
        made.restart_side(node)
    made.run(1)
    made.nodes[1].claim()
    made.submit(6)
    made.run(10)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_grown_capacity_is_used(case):
    made = cluster.Cluster(3)
    resize(made, 1000)
    made.submit(6)
    made.run(6)
    case.assertEqual(count_running(made), [1, 1, 1])
    resize(made, 2000)
    made.run(1.5)
    case.assertEqual(count_running(made), [2, 2, 2])


def test_start_without_an_answer_takes_its_room(case):
    """The task may run or start later, so its room stays reserved."""
    made = cluster.Cluster(1)
    made.run(4)
    (node,) = made.nodes
    worker = node.worker
    original_start, original_stop = worker.start, worker.stop
    sent = []

    def lose(start):
        sent.append(start)
        return stop_unanswered()

    def stop_unanswered(*order):
        return result.Err('silent')

    worker.start, worker.stop = lose, stop_unanswered
    worker.resize(1000)
    made.run(4)
    made.submit(1)
    made.run(1, step=0.25)
    worker.start = original_start
    case.assertTrue(sent)
    made.submit(2)
    made.run(1, step=0.25)
    # The worker executes the start that it has not answered.
    original_start(sent[0])
    made.run(2)
    worker.stop = original_stop
    made.settle()
    made.check_end()


def test_workload_that_fitted_before_is_not_refused(case):
    view = vmview.VmView(fixtures.make_vm(1), data.Resources(1000, 1000))
    view.largest = data.Resources(4000, 4000)
    fits_largest = fixtures.make_workload(resources=data.Resources(3000, 3000))
    too_large = fixtures.make_workload(resources=data.Resources(5000, 1000))
    case.assertIsNone(placement.check_placeable(fits_largest, [view]))
    problem = placement.check_placeable(too_large, [view])
    case.assertEqual(problem.code, placement.REASON_NEVER)


def test_largest_capacity_of_a_vm_is_remembered(case):
    made = cluster.Cluster(1)
    made.run(4)
    resize(made, 1000)
    made.run(4)
    accepted = made.submit(1, resources=data.Resources(2000, 2000))
    made.run(2)
    case.assertTrue(accepted.value.id)
    resize(made, 2000)
    made.run(3)
    case.assertEqual(count_running(made), [1])
