# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""VMs that send heartbeats while their sides do not report their tasks.

The failure: all processes restarted while the store lost answers. Two lasting
tasks of one VM ended with their leases and were not started anywhere again.
The VM sent heartbeats and received grants, so it did not count as silent; its
side never reported what it runs, so no task counted as missing. The cause was
a registration without an answer, after which the side had no fencing token and
could not list the tasks of its worker. ``registry_test`` covers that cause;
here are others with the same effect.
"""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster

LASTING_KIND = data.Kind.STANDING
# Longer than any lease and any other wait of an owner.
LONG_WAIT_SECONDS = ownership_test.LONG_WAIT_SECONDS


def start_lasting_task():
    """Return a cluster, a node that runs a lasting task, and the task."""
    made = ownership_test.make_cluster(kind=LASTING_KIND)
    node = next(
        one for one in made.nodes[1:] if ownership_test.list_running(one)
    )
    (task,) = ownership_test.list_running(node)
    return made, node, task


def runs_elsewhere(made, node, task):
    """Tell whether a task runs on another node."""
    others = [one for one in made.nodes if one is not node]
    return any(task in ownership_test.list_running(one) for one in others)


def test_side_that_restarts_beside_a_silent_worker(case):
    made, node, task = start_lasting_task()
    node.worker.silent = True
    made.restart_side(node)
    made.run(LONG_WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_side_that_restarts_cut_off_from_the_store(case):
    """Without its epoch, the side sends no reports at all."""
    made, node, task = start_lasting_task()
    node.pool.cut = True
    made.restart_side(node)
    made.run(LONG_WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_owner_that_changes_while_a_worker_is_silent(case):
    made, node, task = start_lasting_task()
    node.worker.silent = True
    made.restart_side(node)
    made.run(2)
    other = next(one for one in made.nodes[1:] if one is not node)
    made.restart_side(made.nodes[0])
    other.claim()
    made.run(LONG_WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_task_is_not_moved_while_it_may_run_on(case):
    """A stop that a restarted side cannot carry out yet ends nothing.

    If the side reported the task as gone, the cluster would find it on two
    workers.
    """
    made, node, task = start_lasting_task()
    node.worker.silent = True
    made.restart_side(node)
    made.listing.set_leaving({node.vm.name})
    made.run(LONG_WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, node, task))


def test_recovered_worker_runs_no_duplicates(case):
    made, node, _ = start_lasting_task()
    node.worker.silent = True
    made.restart_side(node)
    made.run(LONG_WAIT_SECONDS)
    made.heal()
    made.run(10)
    running = [
        task for one in made.nodes for task in ownership_test.list_running(one)
    ]
    case.assertEqual(len(running), 3)
    case.assertEqual(len(set(running)), 3)


def test_report_of_an_ended_connection_is_ignored(case):
    """The report is still in the inbox of the owner when the side restarts.

    If the owner took it for one of the new connection, it would not notice
    that the new side reports nothing.
    """
    made, node, task = start_lasting_task()
    owner = made.nodes[0].owner
    link = next(one for one in owner.list_links() if one.name == node.vm.name)
    made.break_pipes(node)
    made.connect_all()
    made.deliver(made.nodes[0], link, node)
    node.step()
    made.deliver(made.nodes[0], link, node)
    node.pool.cut = True
    made.restart_side(node)
    made.run(LONG_WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, node, task))


def pause_agent(made, node):
    """Let a side send nothing until its VM counts as silent, and go on.

    Its connection stays open, as another thread holds it.
    """
    agent = node.server.agent
    with mock.patch.object(agent, 'step', lambda timeout=0.0: None):
        made.run(cluster.LIMITS.unreachable + 1)


def test_given_up_attempt_of_a_cancelled_job_is_stopped(case):
    made = ownership_test.make_cluster(overlap_allowed=True)
    node = made.nodes[1]
    case.assertTrue(ownership_test.list_running(node))
    pause_agent(made, node)
    made.cancel(made.list_accepted()[0])
    made.run(LONG_WAIT_SECONDS)
    for one in made.nodes:
        case.assertEqual(ownership_test.list_running(one), [])


def test_given_up_attempt_of_a_service_does_not_block_the_next_one(case):
    made = ownership_test.make_cluster(kind=data.Kind.SERVICE)
    node = made.nodes[1]
    case.assertTrue(ownership_test.list_running(node))
    pause_agent(made, node)
    made.run(LONG_WAIT_SECONDS)
    state = made.read_state()
    for task in state.tasks.values():
        case.assertEqual(task.state, data.TaskState.PLACED)
    running = [ownership_test.list_running(one) for one in made.nodes]
    case.assertEqual(sorted(sum(running, [])), sorted(state.tasks))
