# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gangs begin whole, end together and begin again together."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.testing import cluster

STEP = jobs_test.FIRST
ONE_CORE = data.Resources(1000, 1000)


def accept(count=3, **fields):
    """Return a state that has accepted a job of one gang."""
    step = jobs_test.make_step(count, gang=True, **fields)
    return jobs_test.accept(step)


def make_views(*rooms, racks=()):
    """Return a view with so many processors for each room."""
    views = []
    for number, cores in enumerate(rooms):
        size = data.Resources(cores * 1000, 64_000)
        view = vmview.VmView(data.Vm(f'vm-{number}'), size)
        view.rack = racks[number] if racks else ''
        views.append(view)
    return views


def place(made, views):
    """Make one pass and apply what it placed."""
    demands = planning.list_demands(made, lambda _: frozenset(), jobs_test.NOW)
    quotas = backlog.Quotas({}, {})
    done = placement.place_demands(demands, views, quotas, jobs_test.NOW)
    for one in done.placements:
        made.apply(events.TaskPlaced(one.task, one.attempt, one.vm))
    return done.placements


def report(made, number, ended, attempt=1, checkpoint=''):
    """Judge the end of a member's attempt."""
    task = made.tasks[f'{STEP}.{number}']
    verdict = reconcile.Verdict()
    told = messages.TaskReport(task.id, attempt, ended, checkpoint)
    reconcile.judge_report(made, task.vm or 'vm-0', told, verdict)
    return verdict


def list_states(made):
    """Return the states of the gang's tasks."""
    return [task.state for task in made.workloads[STEP].tasks]


def test_gang_is_placed_whole_or_not_at_all(case):
    made = accept(3)
    views = make_views(1, 1)
    case.assertEqual(place(made, views), [])
    case.assertEqual([view.reserved.cpu_milli for view in views], [0, 0])
    placed = place(made, make_views(1, 2))
    case.assertEqual([one.attempt for one in placed], [1, 1, 1])


def test_one_success_counts_for_the_whole_gang(case):
    made = accept(3)
    place(made, make_views(4))
    report(made, 1, data.RunState.SUCCEEDED)
    case.assertEqual(list_states(made), [data.TaskState.SUCCEEDED] * 3)
    case.assertEqual(
        made.find_job_state(jobs_test.ID), data.JobState.COMPLETED
    )
    verdict = report(made, 2, data.RunState.SUCCEEDED)
    case.assertEqual(verdict.events, [])
    case.assertEqual(len(verdict.forget), 1)


def test_gang_begins_again_only_when_all_are_back(case):
    made = accept(2)
    place(made, make_views(4))
    report(made, 0, data.RunState.GONE, checkpoint='half')
    case.assertEqual(place(made, make_views(4)), [])
    report(made, 1, data.RunState.GONE)
    placed = place(made, make_views(4))
    case.assertEqual([one.attempt for one in placed], [2, 2])
    starts = [
        reconcile.make_start(made, made.tasks[one.task]) for one in placed
    ]
    case.assertEqual([one.checkpoint for one in starts], ['half', 'half'])


def test_failures_of_one_attempt_count_once_for_a_gang(case):
    made = accept(2)
    place(made, make_views(4))
    report(made, 0, data.RunState.FAILED)
    report(made, 1, data.RunState.FAILED)
    case.assertEqual(made.find_job_state(jobs_test.ID), data.JobState.RUNNING)
    place(made, make_views(4))
    report(made, 1, data.RunState.FAILED, attempt=2)
    case.assertEqual(made.find_job_state(jobs_test.ID), data.JobState.FAILED)


def test_gang_survives_a_snapshot(case):
    made = accept(2)
    place(made, make_views(4))
    report(made, 0, data.RunState.FAILED, checkpoint='half')
    again = state.ShardState.unpack(made.pack())
    record = again.workloads[STEP]
    case.assertEqual((record.checkpoint, record.failures), ('half', 1))


def test_members_left_over_are_stopped(case):
    made = cluster.Cluster(3)
    step = jobs_test.make_step(3, gang=True)
    made.submit_job(jobs_test.make_job(step))
    made.run(4)
    node = next(n for n in made.nodes if n.worker.runs)
    first = node.worker.runs[0]
    node.worker.stop(first.attempt.task, first.attempt.attempt, True)
    made.run(4)
    tasks = made.read_state().workloads[STEP].tasks
    case.assertEqual({task.attempt for task in tasks}, {2})
    made.settle()
    ended = made.read_state().find_job_state(jobs_test.ID)
    case.assertEqual(ended, data.JobState.COMPLETED)


def test_step_of_one_rack_goes_where_most_of_it_fits(case):
    made = jobs_test.accept(jobs_test.make_step(4, same_rack=True))
    views = make_views(3, 2, 2, racks=('r1', 'r2', 'r2'))
    placed = place(made, views)
    case.assertEqual({one.vm for one in placed}, {'vm-1', 'vm-2'})


def test_gang_in_parts_is_caught(case):
    faults_test.check(
        case,
        test_gang_is_placed_whole_or_not_at_all,
        placement,
        '_place_gang',
        lambda demand, views, quotas, now_ms, done: placement._place_demand(
            _without_gang(demand), views, quotas, now_ms, done
        ),
    )


def _without_gang(demand):
    demand.record.workload.gang = False
    return demand
