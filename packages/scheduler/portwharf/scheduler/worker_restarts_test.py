# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Workers that restart under the same id at any moment.

Their tasks are restarted once and end; tasks of other workers are not
affected. The cluster checks after each step that no task runs twice and that
no worker is overcommitted.
"""

from portwharf.scheduler import jobs_test
from portwharf.testing import cluster


def make_cluster():
    """Return a cluster that runs three tasks."""
    made = cluster.Cluster(3)
    made.submit(3)
    made.run(4)
    return made


def list_running(made):
    """Return the ids of the tasks that workers run."""
    return sorted(
        run.attempt.task
        for node in made.nodes
        for run in node.worker.runs
        if run.running
    )


def find_busy(made):
    """Return a node whose worker runs a task, preferably not the owner's."""
    return next(
        node
        for node in reversed(made.nodes)
        if any(run.running for run in node.worker.runs)
    )


def check_all_run_again(case, made, before):
    """Check that the same tasks run again, and that they end."""
    made.run(30)
    case.assertEqual(list_running(made), before)
    made.settle()
    made.check_end()


def test_tasks_of_a_crashed_worker_are_restarted_once(case):
    """Covers immediate, delayed and repeated restarts."""
    for delays in ((0.0,), (0.2,), (0.6,), (0.0, 0.0, 0.0), (0.2, 0.0)):
        with case.subTest(delays=delays):
            made = make_cluster()
            before = list_running(made)
            node = find_busy(made)
            for seconds in delays:
                node.worker.crash(seconds)
            check_all_run_again(case, made, before)


def test_worker_restart_while_the_side_is_down(case):
    made = make_cluster()
    before = list_running(made)
    node = find_busy(made)
    node.worker.crash(0.0)
    made.restart_side(node)
    check_all_run_again(case, made, before)


def test_worker_restart_while_the_side_is_paused(case):
    for seconds in (1.0, 12.0):
        with case.subTest(seconds=seconds):
            made = make_cluster()
            before = list_running(made)
            node = find_busy(made)
            node.paused = True
            node.worker.crash(0.0)
            made.run(seconds)
            node.paused = False
            check_all_run_again(case, made, before)


def test_worker_restart_behind_a_network_partition(case):
    for seconds in (1.0, 12.0):
        with case.subTest(seconds=seconds):
            made = make_cluster()
            before = list_running(made)
            node = find_busy(made)
            made.isolate(node)
            made.run(0.5)
            node.worker.crash(0.2)
            made.run(seconds)
            made.heal()
            check_all_run_again(case, made, before)


def test_worker_restart_as_the_owner_changes(case):
    made = make_cluster()
    before = list_running(made)
    node = find_busy(made)
    node.worker.crash(0.0)
    made.nodes[1].claim()
    check_all_run_again(case, made, before)


def test_restarts_under_one_id_are_separate_crashes(case):
    """Each of them counts for the tasks that had just started there."""
    made = cluster.Cluster(1)
    made.submit_job(jobs_test.make_job(jobs_test.make_step(1)))
    made.run(1.0)
    for _ in range(2):
        made.nodes[0].worker.crash(0.0)
        made.run(0.5)
    (task,) = made.read_state().tasks.values()
    names = [one.name for one in task.crashes]
    case.assertEqual(len(names), 2)
    case.assertEqual(len(set(names)), 2)
