# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Rooms of workers that shrink and grow under what runs there.

The workers here guard nothing: a start that brings one over its room, later
than it may still be taken for larger, is a violation.
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
    """Have all workers, or those of some nodes, shrink or grow."""
    for node in nodes or made.nodes:
        node.worker.resize(cpu_milli)


def test_what_runs_goes_on_when_its_room_shrinks(case):
    made = ownership_test.make_cluster(count=6)
    before = ownership_test.count_runs(made)
    resize(made, 500)
    made.run(10)
    case.assertEqual(count_running(made), [2, 2, 2])
    case.assertEqual(ownership_test.count_runs(made), before)


def test_nothing_is_begun_over_a_room_that_has_shrunk(case):
    made = cluster.Cluster(3)
    made.run(4)
    resize(made, 1000)
    made.run(4)
    made.submit(6)
    made.run(10)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_room_of_what_ends_is_not_used_again_after_a_shrink(case):
    made = ownership_test.make_cluster(count=6)
    made.submit(6)
    resize(made, 1000)
    made.run(4)
    made.finish_running()
    made.run(5)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_new_owner_and_new_sides_begin_with_the_smaller_room(case):
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


def test_room_that_has_grown_is_used(case):
    made = cluster.Cluster(3)
    resize(made, 1000)
    made.submit(6)
    made.run(6)
    case.assertEqual(count_running(made), [1, 1, 1])
    resize(made, 2000)
    made.run(1.5)
    case.assertEqual(count_running(made), [2, 2, 2])


def test_start_without_an_answer_takes_its_room(case):
    """It may have begun, or begin later: nothing goes in its place."""
    made = cluster.Cluster(1)
    made.run(4)
    (node,) = made.nodes
    worker = node.worker
    begin, stop = worker.start, worker.stop
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
    worker.start = begin
    case.assertTrue(sent)
    made.submit(2)
    made.run(1, step=0.25)
    # Now the worker carries out what it has left unanswered.
    begin(sent[0])
    made.run(2)
    worker.stop = stop
    made.settle()
    made.check_end()


def test_what_has_fitted_before_is_not_called_impossible(case):
    view = vmview.VmView(fixtures.make_vm(1), data.Resources(1000, 1000))
    view.largest = data.Resources(4000, 4000)
    waits = fixtures.make_workload(resources=data.Resources(3000, 3000))
    never = fixtures.make_workload(resources=data.Resources(5000, 1000))
    case.assertIsNone(placement.check_placeable(waits, [view]))
    problem = placement.check_placeable(never, [view])
    case.assertEqual(problem.code, placement.REASON_NEVER)


def test_largest_room_that_a_vm_has_shown_is_remembered(case):
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
