# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""VMs that are heard, and whose sides do not tell what their workers run.

What users saw: after all processes had started again while the store lost
answers, two lasting tasks of one VM ended with their leases and began
nowhere again. The owner heard that VM and granted to it, so that it did not
count as silent; its side never told what it runs, so that nothing was found
missing. What proved it: without an answer to its registration the side had
no fencing token and could not look at its worker; ``register_test`` has
that cause, and here are the others with the same effect.
"""

from portwharf.core import data
from portwharf.scheduler import ownership_test

LASTS = data.Kind.STANDING
# Longer than any lease, and than what an owner waits for besides.
LONG = ownership_test.LONG


def start_lasting():
    """Return a cluster, a node that runs a lasting task, and the task."""
    made = ownership_test.make_cluster(kind=LASTS)
    node = next(
        one for one in made.nodes[1:] if ownership_test.list_running(one)
    )
    (task,) = ownership_test.list_running(node)
    return made, node, task


def runs_elsewhere(made, node, task):
    """Tell whether a task runs on another node."""
    others = [one for one in made.nodes if one is not node]
    return any(task in ownership_test.list_running(one) for one in others)


def test_side_that_starts_again_beside_a_silent_worker(case):
    made, node, task = start_lasting()
    node.worker.silent = True
    made.restart_side(node)
    made.run(LONG)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_side_that_starts_again_cut_off_from_the_store(case):
    """It has not learnt its epoch, so that it says nothing at all."""
    made, node, task = start_lasting()
    node.pool.cut = True
    made.restart_side(node)
    made.run(LONG)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_owner_that_changes_while_a_worker_is_silent(case):
    made, node, task = start_lasting()
    node.worker.silent = True
    made.restart_side(node)
    made.run(2)
    other = next(one for one in made.nodes[1:] if one is not node)
    made.restart_side(made.nodes[0])
    other.claim()
    made.run(LONG)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_task_is_not_moved_while_it_may_run_on(case):
    """A stop that a restarted side cannot carry out yet ends nothing.

    The cluster finds the task on two workers if the side calls it gone.
    """
    made, node, task = start_lasting()
    node.worker.silent = True
    made.restart_side(node)
    made.listing.set_leaving({node.vm.name})
    made.run(LONG)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_worker_that_answers_again_is_left_with_nothing_twice(case):
    made, node, _ = start_lasting()
    node.worker.silent = True
    made.restart_side(node)
    made.run(LONG)
    made.heal()
    made.run(10)
    running = [
        task for one in made.nodes for task in ownership_test.list_running(one)
    ]
    case.assertEqual(len(running), 3)
    case.assertEqual(len(set(running)), 3)


def test_report_of_an_ended_connection_does_not_speak_for_the_next(case):
    """It waits in the owner's inbox while the side starts again.

    Taken for the new side's own, it hid that this one tells nothing.
    """
    made, node, task = start_lasting()
    owner = made.nodes[0].owner
    link = next(one for one in owner.list_links() if one.name == node.vm.name)
    made.break_pipes(node)
    made.connect_all()
    made.deliver(made.nodes[0], link, node)
    node.step()
    made.deliver(made.nodes[0], link, node)
    node.pool.cut = True
    made.restart_side(node)
    made.run(LONG)
    case.assertTrue(runs_elsewhere(made, node, task))
