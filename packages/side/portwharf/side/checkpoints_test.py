# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What runs goes on from its last save when its VM is lost."""

from portwharf.core import data
from portwharf.side import checkpoints
from portwharf.testing import cluster
from portwharf import workers


def make_attempt(checkpoint, state=data.RunState.RUNNING):
    """Return an attempt that has saved its work."""
    return workers.Attempt('job.0.0.0', 1, state, checkpoint)


def list_due(reporter, checkpoint, now, **fields):
    """Return the saves that are due of one attempt."""
    attempt = make_attempt(checkpoint, **fields)
    return [one.checkpoint for one in reporter.list_due([attempt], now)]


def test_save_is_told_once(case):
    reporter = checkpoints.CheckpointReporter()
    case.assertEqual(list_due(reporter, '', 0.0), [])
    case.assertEqual(list_due(reporter, 'a', 0.5), [])
    case.assertEqual(list_due(reporter, 'a', 1.0), ['a'])
    case.assertEqual(list_due(reporter, 'a', 9.0), [])


def test_saves_are_told_ever_more_seldom(case):
    reporter = checkpoints.CheckpointReporter()
    told = [
        now
        for now in range(1000)
        if list_due(reporter, f'save {now}', float(now))
    ]
    case.assertEqual(told[:5], [1, 2, 3, 4, 5])
    case.assertLess(len(told), 40)


def test_what_has_ended_is_not_told(case):
    reporter = checkpoints.CheckpointReporter()
    ended = data.RunState.SUCCEEDED
    list_due(reporter, 'a', 0.0)
    case.assertEqual(list_due(reporter, 'b', 5.0, state=ended), [])


def test_another_owner_is_told_again(case):
    reporter = checkpoints.CheckpointReporter()
    list_due(reporter, 'a', 0.0)
    list_due(reporter, 'a', 1.0)
    reporter.forget_reported()
    case.assertEqual(list_due(reporter, 'a', 2.0), ['a'])


def list_resumed(made):
    """Return what tasks were begun with after their first time."""
    first = set()
    resumed = []
    runs = [run for node in made.nodes for run in node.worker.record]
    for run in sorted(runs, key=lambda run: run.began):
        if run.attempt.task in first:
            resumed.append(run.from_checkpoint)
        first.add(run.attempt.task)
    return resumed


def save_all(made):
    """Have all that runs save its work."""
    for node in made.nodes:
        for run in node.worker.runs:
            run.attempt.checkpoint = f'save of {run.attempt.task}'


def test_task_that_is_lost_with_its_vm_goes_on_from_its_save(case):
    made = cluster.Cluster(3)
    made.submit(2, checkpointable=True)
    made.run(2)
    save_all(made)
    made.run(3)
    lost = next(n for n in made.nodes if n.owner is None and n.worker.runs)
    made.fail_vm(lost)
    made.run(20)
    (resumed,) = list_resumed(made)
    case.assertTrue(resumed.startswith('save of '))


def test_all_tasks_go_on_from_their_saves_when_all_power_is_lost(case):
    made = cluster.Cluster(3)
    made.submit(3, checkpointable=True)
    made.run(2)
    save_all(made)
    made.run(3)
    for node in made.nodes:
        made.fail_vm(node)
    for node in made.nodes:
        node.down = False
    made.run(3)
    made.nodes[0].claim()
    made.run(30)
    resumed = list_resumed(made)
    case.assertEqual(len(resumed), 3)
    case.assertNotIn('', resumed)
