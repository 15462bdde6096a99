# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Dependencies, attempts, states and placement of jobs."""

from unittest import mock

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs
from portwharf.scheduler import occurrences
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.testing import cluster

ID = '5c0e7a21d94b36f8'
FIRST = f'{ID}.0.0'
SECOND = f'{ID}.0.1'
SIZE = data.Resources(1000, 1000)
NOW = 1_000_000


def make_step(count=1, after=(), **fields):
    """Return a step of a job as ``data.Workload``."""
    values = {'count': count, 'after': list(after), 'resources': SIZE}
    values |= {'run_ms': 500, 'max_failures': 2}
    return data.Workload(**{**values, **fields})


def make_job(*steps, **fields):
    """Return a job of some steps; by default of two, one after the other."""
    steps = list(steps) or [make_step(2), make_step(1, ['0'])]
    return data.Job(ID, 'plans', 1, b'spec', steps, 2000, **fields)


def accept(*steps, **fields):
    """Return a shard state that has accepted a job."""
    made = state.ShardState()
    made.apply(events.JobAccepted(NOW, make_job(*steps, **fields)))
    return made


def list_demanded(made, now_ms=NOW):
    """Return the ids of the workloads that have demand."""
    for event in occurrences.OccurrenceSchedule(made).make_due_events(now_ms):
        made.apply(event)
    demands = pass_inputs.list_demands(made, lambda _: frozenset(), now_ms)
    return [demand.record.id for demand in demands]


def run_task(made, task, attempt=1, ended=data.RunState.SUCCEEDED):
    """Place an attempt and process the report of its end."""
    made.apply(events.TaskPlaced(task, attempt, 'vm-1'))
    report = messages.TaskReport(task, attempt, ended)
    verdict = reconcile.ReportOutcome()
    reconcile.process_report(made, 'vm-1', report, verdict)
    return verdict


def test_step_waits_until_all_before_it_have_succeeded(case):
    made = accept()
    case.assertEqual(list_demanded(made), [FIRST])
    run_task(made, f'{FIRST}.0')
    case.assertEqual(list_demanded(made), [FIRST])
    run_task(made, f'{FIRST}.1')
    case.assertEqual(list_demanded(made), [SECOND])


def test_job_is_completed_with_its_last_task(case):
    made = accept()
    case.assertEqual(made.find_job_state(ID), data.JobState.QUEUED)
    run_task(made, f'{FIRST}.0')
    case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)
    run_task(made, f'{FIRST}.1')
    case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)
    run_task(made, f'{SECOND}.0')
    case.assertEqual(made.find_job_state(ID), data.JobState.COMPLETED)


def test_job_fails_only_with_its_last_attempt(case):
    made = accept()
    run_task(made, f'{FIRST}.0', 1, data.RunState.FAILED)
    case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)
    run_task(made, f'{FIRST}.0', 2, data.RunState.FAILED)
    case.assertEqual(made.find_job_state(ID), data.JobState.FAILED)


def test_lost_attempts_do_not_count_as_failures(case):
    made = accept()
    for attempt in (1, 2, 3):
        run_task(made, f'{FIRST}.0', attempt, data.RunState.GONE)
    run_task(made, f'{FIRST}.0', 4, data.RunState.FAILED)
    case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)


def test_standing_task_is_restarted_however_it_ends(case):
    made = accept(make_step(kind=data.Kind.STANDING))
    for attempt in (1, 2, 3, 4):
        run_task(made, f'{FIRST}.0', attempt, data.RunState.FAILED)
    case.assertEqual(list_demanded(made), [FIRST])


def test_cancelled_job_has_no_demand(case):
    made = accept()
    made.apply(events.JobCancelled(ID))
    case.assertEqual(list_demanded(made), [])
    case.assertEqual(made.find_job_state(ID), data.JobState.CANCELLED)


def test_unlisted_unwanted_task_is_stopped(case):
    made = accept()
    made.apply(events.TaskPlaced(f'{FIRST}.0', 1, 'vm-1'))
    task = made.tasks[f'{FIRST}.0']
    command = reconcile.make_missing_command(made, task)
    case.assertIsInstance(command, messages.StartTask)
    made.apply(events.JobCancelled(ID))
    command = reconcile.make_missing_command(made, task)
    case.assertIsInstance(command, messages.StopTask)


def test_occurrences_become_due_one_by_one(case):
    made = accept(make_step(), times=2, first_ms=NOW + 10, interval_ms=50)
    case.assertEqual(list_demanded(made), [])
    case.assertEqual(list_demanded(made, NOW + 10), [f'{ID}.0.0'])
    both = [f'{ID}.0.0', f'{ID}.1.0']
    case.assertEqual(list_demanded(made, NOW + 60), both)
    # The clock is set back.
    case.assertEqual(list_demanded(made, NOW + 10), [f'{ID}.0.0'])


def test_step_deadline_leaves_time_for_dependent_steps(case):
    made = accept()
    predicted = forecast.Forecast(made)
    first = predicted.get_step_forecast(made.workloads[FIRST])
    second = predicted.get_step_forecast(made.workloads[SECOND])
    case.assertEqual(first.begin_ms, NOW + 2000 - 1000)
    case.assertEqual(second.begin_ms, NOW + 2000 - 500)


def test_state_survives_a_snapshot(case):
    made = accept()
    run_task(made, f'{FIRST}.0')
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(restored.find_job_state(ID), data.JobState.RUNNING)
    case.assertEqual(list_demanded(restored), [FIRST])
    run_task(restored, f'{FIRST}.1')
    case.assertEqual(list_demanded(restored), [SECOND])


def test_second_submission_is_the_same_job(case):
    made = state.ShardState()
    call = job_operations.JobSubmission(make_job())
    first = job_operations.submit_job(made, call, NOW).ok_value
    second = job_operations.submit_job(made, call, NOW).ok_value
    case.assertEqual((len(first.events), second.events), (1, []))


def test_dependency_on_a_later_step_is_refused(case):
    for dependency in ('0', '-1', '\xb2'):
        problem = jobs.validate_job(make_job(make_step(after=[dependency])))
        case.assertEqual(problem.field, 'steps.0.after')
        case.assertIn('earlier step', problem.text)


def test_filling_task_reserves_no_processors(case):
    made = accept(make_step(fills=True))
    made.apply(events.TaskPlaced(f'{FIRST}.0', 1, 'vm-1'))
    case.assertEqual(made.reserved['vm-1'], data.Resources(0, 1000))
    start = reconcile.make_start(made, made.tasks[f'{FIRST}.0'])
    case.assertEqual((start.fill_milli, start.argument), (1000, b'spec'))


def submit(made, *steps):
    """Submit a job to a cluster and let it start."""
    call = job_operations.JobSubmission(make_job(*steps))
    fut = made._call('submit-job', call)
    made.run(4)
    return fut


def list_started(made):
    """Return (task, attempt) of all starts on workers."""
    return [
        (run.attempt.task, run.attempt.attempt)
        for node in made.nodes
        for run in node.worker.record
    ]


def test_job_completes_despite_owner_change_and_store_outage(case):
    made = cluster.Cluster()
    submit(made)
    made.fake.faults.down = True
    made.finish_running()
    made.run(2)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(2)
    made.nodes[1].claim()
    made.run(6)
    made.finish_running()
    made.run(4)
    started = [task for task, _ in list_started(made)]
    case.assertEqual(sorted(started), sorted(set(started)))
    case.assertEqual(made.read_state().find_job_state(ID), 'completed')


def test_end_is_not_shown_before_it_is_in_the_log(case):
    made = cluster.Cluster()
    submit(made, make_step())
    node = made.list_owners()[0]
    made.fake.faults.down = True
    made.finish_running()
    made.run(1)
    query = messages.Operation(1, 'read-job', b'\x81\xa2id\xb0' + ID.encode())
    shown = node.ask(query)
    case.assertIn(b'running', shown.body)
    made.fake.faults.down = False
    made.run(2)
    case.assertIn(b'completed', node.ask(query).body)


def test_step_that_waited_long_is_placed_on_any_vm(case):
    made = accept(make_step(fills=True, image='plan'))
    view = vmview.VmView(data.Vm('vm-1'), data.Resources(9000, 9000))
    view.set_headrooms(
        tail_interference.TailInterferenceModel(),
        [messages.Headroom('desk', 0.0)],
    )
    patience = pass_inputs.Patience()
    placed = []
    for now in (0.0, 1.0, 2.0):
        demands = pass_inputs.list_demands(made, lambda _: {'vm-1'}, NOW)
        patience.apply(demands, now)
        done = pass_inputs.plan(made, demands, [view], {}, NOW)
        patience.record_waits({one.record.id for one in done.waiting}, now)
        placed.append(len(done.placements))
    case.assertEqual(placed, [0, 0, 1])


def test_rest_of_a_started_step_waits_longer_for_a_good_vm(case):
    made = accept(make_step(2, fills=True, image='plan'))
    made.apply(events.TaskPlaced(f'{FIRST}.0', 1, 'vm-2'))
    view = vmview.VmView(data.Vm('vm-1'), data.Resources(9000, 9000))
    view.set_headrooms(
        tail_interference.TailInterferenceModel(),
        [messages.Headroom('desk', 0.0)],
    )
    patience = pass_inputs.Patience()
    patience.record_waits({FIRST}, 0.0)
    placed = []
    for now in (2.0, pass_inputs.REMAINING_PATIENCE_SECONDS + 1):
        demands = pass_inputs.list_demands(made, lambda _: frozenset(), NOW)
        patience.apply(demands, now)
        done = pass_inputs.plan(made, demands, [view], {}, NOW)
        placed.append(len(done.placements))
    case.assertEqual(placed, [0, 1])


def test_job_that_stands_still_gets_one_task_beyond_the_processors(case):
    made = accept(make_step(3, fills=True, image='plan'))
    view = vmview.VmView(data.Vm('vm-1'), data.Resources(9000, 9000))
    view.set_headrooms(tail_interference.TailInterferenceModel(), [])
    view.record_filling(make_step(resources=view.capacity), 0.0, 1.0)
    (demand,) = pass_inputs.list_demands(made, lambda _: frozenset(), NOW)
    done = pass_inputs.plan(made, [demand], [view], {}, NOW)
    case.assertEqual(done.placements, [])
    demand.accept_any_vm()
    done = pass_inputs.plan(made, [demand], [view], {}, NOW)
    case.assertEqual(len(done.placements), 1)


def test_job_that_stands_still_is_tried_after_one_that_partly_runs(case):
    made = accept(make_step(3, fills=True, image='plan'))
    made.apply(events.TaskPlaced(f'{FIRST}.0', 1, 'vm-2'))
    step = make_step(3, fills=True, image='plan')
    other = data.Job('e' * 16, 'plans', 1, b'', [step], 2000)
    made.apply(events.JobAccepted(NOW, other))
    view = vmview.VmView(data.Vm('vm-1'), data.Resources(9000, 9000))
    view.set_headrooms(tail_interference.TailInterferenceModel(), [])
    view.record_filling(make_step(resources=view.capacity), 0.0, 1.0)
    demands = pass_inputs.list_demands(made, lambda _: frozenset(), NOW)
    for demand in demands:
        demand.accept_any_vm()
    done = pass_inputs.plan(made, demands, [view], {}, NOW)
    placed = [one.task for one in done.placements]
    case.assertEqual(placed, [f'{other.id}.0.0.0'])


def test_gang_that_stands_still_is_placed_beyond_the_processors(case):
    made = accept(make_step(3, fills=True, gang=True, image='plan'))
    view = vmview.VmView(data.Vm('vm-1'), data.Resources(9000, 9000))
    view.set_headrooms(tail_interference.TailInterferenceModel(), [])
    view.record_filling(make_step(resources=view.capacity), 0.0, 1.0)
    (demand,) = pass_inputs.list_demands(made, lambda _: frozenset(), NOW)
    demand.accept_any_vm()
    done = pass_inputs.plan(made, [demand], [view], {}, NOW)
    case.assertEqual(len(done.placements), 3)


class CountingRunTimes(forecast.RunTimeModel):
    """Counts its predictions."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def predict(self, queue, record):
        """Return the prediction, and count it."""
        self.count += 1
        return super().predict(queue, record)


def test_job_is_not_forecast_anew_for_each_held_task(case):
    made = accept(make_step(5, fills=True))
    for number in range(5):
        made.apply(events.TaskPlaced(f'{FIRST}.{number}', 1, 'vm-1'))
    runtimes = CountingRunTimes()
    held = reconcile.make_held_tasks(made, 'vm-1', runtimes)
    case.assertEqual(len(held.tasks), 5)
    case.assertEqual(runtimes.count, 1)


def test_pass_does_not_forecast_a_job_more_than_once(case):
    made = cluster.Cluster(3)
    job = make_job(make_step(9, fills=True))
    made.submit_job(job)
    made.run(4)
    owner = made.nodes[0].owner
    case.assertTrue(owner._decider.waiting)
    owner._decider.runtimes = CountingRunTimes()
    owner._members._runtimes = owner._decider.runtimes
    owner.step()
    case.assertEqual(owner._decider.runtimes.count, 1)


def test_reservations_are_not_added_up_without_a_quota(case):
    made = cluster.Cluster(3)
    made.submit(20)
    made.run(4)
    owner = made.nodes[0].owner
    case.assertTrue(owner._decider.waiting)
    failure = AssertionError('added up')
    with mock.patch.object(
        pass_inputs, 'sum_by_team', autospec=True, side_effect=failure
    ):
        owner.step()
