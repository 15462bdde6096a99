# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tasks resume from their last checkpoint when their VM is lost."""

from portwharf.core import data
from portwharf.side import checkpoints
from portwharf.testing import cluster
from portwharf import workers


def make_attempt(checkpoint, state=data.RunState.RUNNING):
    """Return an attempt that has saved a checkpoint."""
    return workers.Attempt('job.0.0.0', 1, state, checkpoint)


def list_due(reporter, checkpoint, now, **fields):
    """Return the checkpoints of one attempt that are due."""
    attempt = make_attempt(checkpoint, **fields)
    return [one.checkpoint for one in reporter.list_due([attempt], now)]


def test_checkpoint_is_reported_once(case):
    reporter = checkpoints.CheckpointReporter()
    case.assertEqual(list_due(reporter, '', 0.0), [])
    case.assertEqual(list_due(reporter, 'a', 0.5), [])
    case.assertEqual(list_due(reporter, 'a', 1.0), ['a'])
    case.assertEqual(list_due(reporter, 'a', 9.0), [])


def test_checkpoints_are_reported_less_often_over_time(case):
    reporter = checkpoints.CheckpointReporter()
    reported = [
        now
        for now in range(1000)
        if list_due(reporter, f'save {now}', float(now))
    ]
    case.assertEqual(reported[:5], [1, 2, 3, 4, 5])
    case.assertLess(len(reported), 40)


def test_ended_attempt_is_not_reported(case):
    reporter = checkpoints.CheckpointReporter()
    ended = data.RunState.SUCCEEDED
    list_due(reporter, 'a', 0.0)
    case.assertEqual(list_due(reporter, 'b', 5.0, state=ended), [])


def test_new_owner_gets_the_checkpoint_again(case):
    reporter = checkpoints.CheckpointReporter()
    list_due(reporter, 'a', 0.0)
    list_due(reporter, 'a', 1.0)
    reporter.forget_reported()
    case.assertEqual(list_due(reporter, 'a', 2.0), ['a'])


def list_resumed(deployment):
    """Return the checkpoints that tasks were restarted from."""
    first = set()
    resumed = []
    runs = [run for node in deployment.nodes for run in node.worker.record]
    for run in sorted(runs, key=lambda run: run.began):
        if run.attempt.task in first:
            resumed.append(run.from_checkpoint)
        first.add(run.attempt.task)
    return resumed


def checkpoint_all(deployment):
    """Have all running tasks save a checkpoint."""
    for node in deployment.nodes:
        for run in node.worker.runs:
            run.attempt.checkpoint = f'save of {run.attempt.task}'


def test_task_lost_with_its_vm_resumes_from_its_checkpoint(case):
    deployment = cluster.Cluster(3)
    deployment.submit(2, checkpointable=True)
    deployment.run(2)
    checkpoint_all(deployment)
    deployment.run(3)
    lost = next(
        n for n in deployment.nodes if n.owner is None and n.worker.runs
    )
    deployment.fail_vm(lost)
    deployment.run(20)
    (resumed,) = list_resumed(deployment)
    case.assertTrue(resumed.startswith('save of '))


def test_tasks_resume_from_checkpoints_after_a_power_loss(case):
    deployment = cluster.Cluster(3)
    deployment.submit(3, checkpointable=True)
    deployment.run(2)
    checkpoint_all(deployment)
    deployment.run(3)
    for node in deployment.nodes:
        deployment.fail_vm(node)
    for node in deployment.nodes:
        node.down = False
    deployment.run(3)
    deployment.nodes[0].claim()
    deployment.run(30)
    resumed = list_resumed(deployment)
    case.assertEqual(len(resumed), 3)
    case.assertNotIn('', resumed)
