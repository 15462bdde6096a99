# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A success that is reported after the next attempt was placed counts once."""

from unittest import mock

import result

from portwharf.core import data
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import late_start_test
from portwharf.scheduler import late_successes
from portwharf.scheduler import ownership_test
from portwharf.scheduler import reconcile
from portwharf.testing import cluster
from portwharf.testing import cluster_checks
from portwharf.testing import cluster_fakes
from portwharf import workers

LONG_WAIT_SECONDS = ownership_test.LONG_WAIT_SECONDS
NEXT = f'{jobs_test.SECOND}.0'


def list_runs(made, task):
    """Return all runs of a task, in the order in which they began."""
    runs = [
        run
        for node in made.nodes
        for run in node.worker.record
        if run.attempt.task == task
    ]
    return sorted(runs, key=lambda run: run.order)


def make_gang_cluster():
    """Return a cluster with a gang of two on two VMs and a step after it."""
    made = cluster.Cluster(4)
    steps = [
        jobs_test.make_step(2, gang=True, resources=data.Resources(2000, 100)),
        jobs_test.make_step(1, ['0']),
    ]
    made.submit_job(jobs_test.make_job(*steps))
    made.run(4)
    return made


def succeed_behind_a_partition(made, node):
    """Let the task of a node succeed while nobody hears of it.

    :returns: the task's id
    """
    (task,) = ownership_test.list_running(node)
    made.isolate(node)
    made.run(1)
    node.worker.finish(task)
    return task


def test_late_success_ends_the_task_and_stops_its_later_attempt(case):
    made = ownership_test.make_cluster()
    node = made.nodes[2]
    task = succeed_behind_a_partition(made, node)
    made.run(LONG_WAIT_SECONDS)
    made.heal()
    made.run(5)
    first, later = list_runs(made, task)
    case.assertEqual(first.attempt.state, data.RunState.SUCCEEDED)
    case.assertFalse(later.running)
    state = made.read_state()
    case.assertEqual(state.tasks[task].state, data.TaskState.SUCCEEDED)
    case.assertFalse(node.worker.runs)
    ownership_test.finish(made)
    case.assertEqual(len(list_runs(made, task)), 2)


def test_unanswered_later_attempt_never_begins_after_a_late_success(case):
    made = late_start_test.make_cluster()
    made.submit(3)
    made.run(3)
    node = made.nodes[0]
    task = succeed_behind_a_partition(made, node)
    for other in made.nodes[1:]:
        other.worker.delays = True
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(len(list_runs(made, task)), 1)
    made.heal()
    made.run(2)
    # The start may still be carried out, so the success is not logged yet.
    state = made.read_state()
    case.assertEqual(state.tasks[task].state, data.TaskState.EVICTING)
    for other in made.nodes[1:]:
        other.worker.delays = False
    made.run(3)
    for other in made.nodes[1:]:
        other.worker.carry_out()
    ownership_test.finish(made)
    case.assertEqual(len(list_runs(made, task)), 1)


def test_late_success_reported_to_a_new_owner_counts(case):
    made = ownership_test.make_cluster()
    task = succeed_behind_a_partition(made, made.nodes[2])
    made.run(LONG_WAIT_SECONDS)
    made.restart_side(made.nodes[0])
    made.run(1)
    made.nodes[1].claim()
    made.heal()
    made.run(5)
    state = made.read_state()
    case.assertEqual(state.tasks[task].state, data.TaskState.SUCCEEDED)
    ownership_test.finish(made)


def test_prepared_attempt_never_begins_after_a_late_success(case):
    made = ownership_test.make_cluster(6)
    node = made.nodes[2]
    task, _ = ownership_test.list_running(node)
    made.isolate(node)
    made.run(1)
    node.worker.finish(task)
    made.run(LONG_WAIT_SECONDS)
    state = made.read_state()
    case.assertEqual(state.tasks[task].state, data.TaskState.PREPARED)
    node.worker.resize(500)
    made.run(1)
    made.heal()
    made.run(3)
    state = made.read_state()
    case.assertEqual(state.tasks[task].state, data.TaskState.SUCCEEDED)
    node.worker.resize(cluster_fakes.CAPACITY.cpu_milli)
    ownership_test.finish(made)
    case.assertEqual(len(list_runs(made, task)), 1)


def test_end_that_one_listing_lacks_is_not_followed_by_a_start(case):
    made = ownership_test.make_cluster(1, 1)
    worker = made.nodes[0].worker
    (task,) = ownership_test.list_running(made.nodes[0])
    worker.finish(task)
    worker.broken = True
    lacking = workers.Listing(
        worker._read_ms(), worker.capacity, life=worker._life
    )
    with mock.patch.object(worker, 'read_listing', lambda: result.Ok(lacking)):
        made.run(0.5)
    case.assertEqual(made.read_state().tasks[task].vm, '')
    made.run(1)
    worker.broken = False
    ownership_test.finish(made)
    cluster_checks.check_no_start_after_success(made.nodes)
    (run,) = list_runs(made, task)
    case.assertTrue(run.noted)


def test_gang_ends_once_and_the_next_step_starts_once(case):
    """A member succeeded on a silent VM; the gang was started again."""
    made = make_gang_cluster()
    node = next(
        one for one in made.nodes[1:] if ownership_test.list_running(one)
    )
    task = succeed_behind_a_partition(made, node)
    made.run(LONG_WAIT_SECONDS + 10)
    members = made.read_state().workloads[jobs_test.FIRST].tasks
    case.assertEqual({one.attempt for one in members}, {2})
    case.assertEqual({one.state for one in members}, {data.TaskState.PLACED})
    made.heal()
    made.run(5)
    members = made.read_state().workloads[jobs_test.FIRST].tasks
    case.assertEqual(
        {one.state for one in members}, {data.TaskState.SUCCEEDED}
    )
    case.assertEqual({one.attempt for one in members}, {2})
    ownership_test.finish(made)
    case.assertEqual(len(list_runs(made, task)), 2)
    case.assertEqual(len(list_runs(made, NEXT)), 1)
    cluster_checks.check_no_start_after_success(made.nodes)


def test_gang_ends_once_when_a_member_is_lost_as_another_succeeds(case):
    """The success is still under way as the other member's worker crashes."""
    made = make_gang_cluster()
    one, other = (
        node for node in made.nodes if ownership_test.list_running(node)
    )
    task = succeed_behind_a_partition(made, other)
    one.worker.crash()
    made.run(2)
    made.heal()
    made.run(5)
    members = made.read_state().workloads[jobs_test.FIRST].tasks
    case.assertEqual(
        {one.state for one in members}, {data.TaskState.SUCCEEDED}
    )
    ownership_test.finish(made)
    case.assertEqual(len(list_runs(made, task)), 1)
    case.assertEqual(len(list_runs(made, NEXT)), 1)
    cluster_checks.check_no_start_after_success(made.nodes)


def test_dropped_late_success_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_late_success_ends_the_task_and_stops_its_later_attempt,
        reconcile,
        '_is_late_success',
        lambda state, task, report: False,
    )


def test_prepared_attempt_kept_after_a_late_success_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_prepared_attempt_never_begins_after_a_late_success,
        late_successes.LateSuccesses,
        'list_tasks',
        lambda self: set(),
    )


def test_late_success_logged_before_the_later_attempt_is_stopped(case):
    def take_due(self):
        due = list(self._reports.values())
        for _, report in due:
            task = self._state.tasks[report.task]
            task.attempt = report.attempt
            self._state._release(self._state.find_workload(task.id), task)
            task.state = data.TaskState.WAITING
        self._reports.clear()
        return due

    faults_test.check_fault_detected(
        case,
        test_unanswered_later_attempt_never_begins_after_a_late_success,
        late_successes.LateSuccesses,
        'take_due',
        take_due,
    )
