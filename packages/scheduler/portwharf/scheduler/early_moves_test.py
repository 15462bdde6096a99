# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stalled task whose job ranks first gets a VM before waiting tasks do."""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler.decisions import task_moves
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import metrics
from portwharf.testing import cluster

SHORT, LONG = '0a3c5e7f91b2d4f6', '1b4d6f80a2c3e5f7'


def make_job(name, run_ms, memory_mb):
    """Return a job of one filling task."""
    step = jobs_test.make_step(
        resources=data.Resources(1500, memory_mb),
        run_ms=run_ms,
        fills=True,
        image='plan',
        checkpointable=True,
    )
    return data.Job(name, 'plans', 1, b'', [step], 60_000)


def list_tasks(node):
    """Return the jobs of the filling tasks that run on a VM."""
    return [
        run.attempt.task.partition('.')[0]
        for run in node.worker.runs
        if run.running
    ]


def play_free_vm(case, compares_vms=True):
    """Free a VM while a task is stalled and one with more work waits.

    :returns: how often tasks moved first, and what runs on that VM then
    """
    made = cluster.Cluster(2, compares_vms)
    serving = {'image': 'desk', 'program': 'desk'}
    size = data.Resources(400, 400)
    made.submit(
        1, kind=data.Kind.STANDING, target_ms=20, resources=size, **serving
    )
    made.run(4)
    busy, open_vm = sorted(made.nodes, key=lambda one: not one.worker.runs)
    (run,) = busy.worker.runs
    busy.worker.tails[run.attempt.task] = 19
    made.submit(1, resources=data.Resources(2000, 2000), importance=999)
    made.run(2)
    (blocker,) = open_vm.worker.runs
    made.submit_job(make_job(SHORT, 500, 600))
    made.run(10)
    case.assertIn(SHORT, list_tasks(busy))
    made.submit_job(make_job(LONG, 5000, 1500))
    made.run(2)
    case.assertNotIn(LONG, list_tasks(busy) + list_tasks(open_vm))
    with mock.patch.object(metrics.EARLY_MOVES, 'inc', autospec=True) as count:
        open_vm.worker.finish(blocker.attempt.task)
        made.run(6)
    return count.call_count, list_tasks(open_vm)


def test_stalled_task_gets_a_free_vm_before_a_waiting_one(case):
    """The waiting task would take it, and its job has more work left."""
    case.assertEqual(play_free_vm(case), (1, [SHORT]))


def test_no_task_moves_first_where_vms_are_not_compared(case):
    """Guards deployments that do not ask for it."""
    moves, _ = play_free_vm(case, compares_vms=False)
    case.assertEqual(moves, 0)


def test_waiting_task_that_goes_first_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_stalled_task_gets_a_free_vm_before_a_waiting_one,
        task_moves,
        'list_first',
        lambda stalled, demands, views: [],
    )
