# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gangs are placed whole, end together and restart together."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import placement
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
    """Return a state with an accepted job of one gang."""
    step = jobs_test.make_step(count, gang=True, **fields)
    return jobs_test.accept(step)


def make_views(*rooms, racks=()):
    """Return a view for each number of processors."""
    views = []
    for number, cores in enumerate(rooms):
        size = data.Resources(cores * 1000, 64_000)
        view = vmview.VmView(data.Vm(f'vm-{number}'), size)
        view.rack = racks[number] if racks else ''
        views.append(view)
    return views


def place(shard_state, views):
    """Run one pass and apply its placements."""
    demands = pass_inputs.list_demands(
        shard_state, lambda _: frozenset(), jobs_test.NOW
    )
    quotas = backlog.Quotas({}, {})
    done = placement.place_demands(demands, views, quotas, jobs_test.NOW)
    for one in done.placements:
        shard_state.apply(events.TaskPlaced(one.task, one.attempt, one.vm))
    return done.placements


def report(shard_state, number, ended, attempt=1, checkpoint=''):
    """Report the end of a member's attempt and return the verdict."""
    task = shard_state.tasks[f'{STEP}.{number}']
    verdict = reconcile.ReportOutcome()
    told = messages.TaskReport(task.id, attempt, ended, checkpoint)
    reconcile.process_report(shard_state, task.vm or 'vm-0', told, verdict)
    return verdict


def list_states(shard_state):
    """Return the states of the gang's tasks."""
    return [task.state for task in shard_state.workloads[STEP].tasks]


def test_gang_is_placed_whole_or_not_at_all(case):
    shard_state = accept(3)
    views = make_views(1, 1)
    case.assertEqual(place(shard_state, views), [])
    case.assertEqual([view.reserved.cpu_milli for view in views], [0, 0])
    placed = place(shard_state, make_views(1, 2))
    case.assertEqual([one.attempt for one in placed], [1, 1, 1])


def test_one_success_counts_for_the_whole_gang(case):
    shard_state = accept(3)
    place(shard_state, make_views(4))
    report(shard_state, 1, data.RunState.SUCCEEDED)
    case.assertEqual(list_states(shard_state), [data.TaskState.SUCCEEDED] * 3)
    case.assertEqual(
        shard_state.find_job_state(jobs_test.ID), data.JobState.COMPLETED
    )
    verdict = report(shard_state, 2, data.RunState.SUCCEEDED)
    case.assertEqual(verdict.events, [])
    case.assertEqual(len(verdict.forget), 1)


def lose(shard_state, attempt=1):
    """Requeue all members of the gang, as if their VMs were lost."""
    for task in shard_state.workloads[STEP].tasks:
        shard_state.apply(events.TaskRequeued(task.id, attempt))


def test_late_success_ends_a_gang_whose_later_attempt_was_refused(case):
    shard_state = accept(2)
    place(shard_state, make_views(4))
    lose(shard_state)
    place(shard_state, make_views(4))
    report(shard_state, 0, data.RunState.REFUSED, attempt=2)
    report(shard_state, 1, data.RunState.REFUSED, attempt=2)
    verdict = report(shard_state, 1, data.RunState.SUCCEEDED)
    case.assertEqual(list_states(shard_state), [data.TaskState.SUCCEEDED] * 2)
    case.assertEqual(len(verdict.events), 2)
    case.assertEqual(place(shard_state, make_views(4)), [])


def test_success_ends_a_gang_of_which_a_member_was_requeued(case):
    shard_state = accept(3)
    place(shard_state, make_views(4))
    report(shard_state, 0, data.RunState.GONE)
    case.assertEqual(place(shard_state, make_views(4)), [])
    verdict = report(shard_state, 1, data.RunState.SUCCEEDED)
    case.assertEqual(list_states(shard_state), [data.TaskState.SUCCEEDED] * 3)
    case.assertEqual(len(verdict.events), 3)
    case.assertEqual(place(shard_state, make_views(4)), [])


def test_gang_restarts_only_when_all_members_have_ended(case):
    shard_state = accept(2)
    place(shard_state, make_views(4))
    report(shard_state, 0, data.RunState.GONE, checkpoint='half')
    case.assertEqual(place(shard_state, make_views(4)), [])
    report(shard_state, 1, data.RunState.GONE)
    placed = place(shard_state, make_views(4))
    case.assertEqual([one.attempt for one in placed], [2, 2])
    starts = [
        reconcile.make_start(shard_state, shard_state.tasks[one.task])
        for one in placed
    ]
    case.assertEqual([one.checkpoint for one in starts], ['half', 'half'])


def test_failures_of_one_attempt_count_once_for_a_gang(case):
    shard_state = accept(2)
    place(shard_state, make_views(4))
    report(shard_state, 0, data.RunState.FAILED)
    report(shard_state, 1, data.RunState.FAILED)
    case.assertEqual(
        shard_state.find_job_state(jobs_test.ID), data.JobState.RUNNING
    )
    place(shard_state, make_views(4))
    report(shard_state, 1, data.RunState.FAILED, attempt=2)
    case.assertEqual(
        shard_state.find_job_state(jobs_test.ID), data.JobState.FAILED
    )


def test_gang_survives_a_snapshot(case):
    shard_state = accept(2)
    place(shard_state, make_views(4))
    report(shard_state, 0, data.RunState.FAILED, checkpoint='half')
    again = state.ShardState.unpack(shard_state.pack())
    record = again.workloads[STEP]
    case.assertEqual((record.checkpoint, record.failures), ('half', 1))


def test_other_members_are_stopped_when_one_is(case):
    sim = cluster.Cluster(3)
    step = jobs_test.make_step(3, gang=True)
    sim.submit_job(jobs_test.make_job(step))
    sim.run(4)
    node = next(n for n in sim.nodes if n.worker.runs)
    first = node.worker.runs[0]
    node.worker.stop(first.attempt.task, first.attempt.attempt, True)
    sim.run(4)
    tasks = sim.read_state().workloads[STEP].tasks
    case.assertEqual({task.attempt for task in tasks}, {2})
    sim.settle()
    ended = sim.read_state().find_job_state(jobs_test.ID)
    case.assertEqual(ended, data.JobState.COMPLETED)


def test_step_that_shares_a_rack_goes_where_most_of_it_fits(case):
    shard_state = jobs_test.accept(jobs_test.make_step(4, same_rack=True))
    views = make_views(3, 2, 2, racks=('r1', 'r2', 'r2'))
    placed = place(shard_state, views)
    case.assertEqual({one.vm for one in placed}, {'vm-1', 'vm-2'})


def test_gang_placed_in_part_is_caught(case):
    faults_test.check_fault_detected(
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
