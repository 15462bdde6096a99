# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A recurring job costs what is due and has not ended, not what it may run.

These guard against owners, and all sides that read the log, running out of
memory by one accepted job (incident 0032).
"""

import random

from portwharf.core import data
from portwharf.scheduler import begun_jobs
from portwharf.scheduler import events
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs
from portwharf.scheduler import occurrences
from portwharf.scheduler import operations
from portwharf.scheduler import state
from portwharf.testing import cluster

ID = '5c0e7a21d94b36f8'
NOW = 1_800_000_000_000
MINUTES_5 = 300_000
RUNS_OF_A_YEAR = 105_120
MOST_RUNS = 2**53
MAX_JOB_SNAPSHOT_BYTES = 1000


def make_job(job_id=ID, times=RUNS_OF_A_YEAR, count=1, **fields):
    """Return a recurring job of two steps, one after the other."""
    values = {'first_ms': NOW, 'interval_ms': MINUTES_5, **fields}
    kind = values.pop('kind', data.Kind.BATCH)
    size = data.Resources(100, 100)
    first = data.Workload(count=count, kind=kind, resources=size, run_ms=500)
    second = data.Workload(after=['0'], kind=kind, resources=size, run_ms=500)
    return data.Job(
        job_id, 'plans', steps=[first, second], times=times, **values
    )


def accept(*made_jobs):
    """Return a state that has accepted some jobs."""
    made = state.ShardState()
    for job in made_jobs:
        made.apply(events.JobAccepted(NOW - 1000, job))
    return made


class Planner:
    """Applies the events of a schedule, as passes of an owner do."""

    def __init__(self, made):
        self.made = made
        self.schedule = occurrences.OccurrenceSchedule(made)

    def expand(self, now_ms):
        """Return the events of a pass at a time, which are applied."""
        due = self.schedule.make_due_events(now_ms)
        for event in due:
            self.made.apply(event)
        return due

    def finish(self, occurrence, job_id=ID):
        """Run all tasks of an occurrence with success, and drop it."""
        for name in self.made.jobs[job_id].list_occurrence(occurrence):
            for number in range(self.made.workloads[name].workload.count):
                task = f'{name}.{number}'
                self.made.apply(events.TaskPlaced(task, 1, 'vm-1'))
                succeeded = data.TaskState.SUCCEEDED
                self.made.apply(events.TaskEnded(task, 1, succeeded))
            self.schedule.record_task_end(name)
        for event in self.schedule.make_drop_events():
            self.made.apply(event)


def list_occurrences(made, job_id=ID):
    """Return the numbers of the occurrences that have workloads."""
    steps = made.jobs[job_id].steps
    return sorted({jobs.split_step_id(name)[1] for name in steps})


def test_job_costs_nothing_before_its_first_run_is_due(case):
    made = accept(make_job(times=MOST_RUNS, interval_ms=MOST_RUNS))
    planner = Planner(made)
    case.assertEqual(planner.expand(NOW - 1), [])
    case.assertEqual(made.workloads, {})
    raw = made.pack()
    case.assertLess(len(raw), MAX_JOB_SNAPSHOT_BYTES)
    restored = state.ShardState.unpack(raw)
    case.assertEqual(restored.find_job_state(ID), data.JobState.QUEUED)


def test_year_of_runs_costs_the_runs_that_have_not_ended(case):
    made = accept(make_job())
    planner = Planner(made)
    sizes = []
    for number in range(4):
        planner.expand(NOW + number * MINUTES_5)
        case.assertEqual(list_occurrences(made), [number])
        planner.finish(number)
        case.assertEqual((made.workloads, made.tasks), ({}, {}))
        case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)
        sizes.append(len(made.pack()))
    case.assertEqual(sizes, sizes[:1] * 4)
    case.assertLess(sizes[0], MAX_JOB_SNAPSHOT_BYTES)


def test_runs_with_workloads_before_they_are_due_are_caught(case):
    faults_test.check_fault_detected(
        case,
        test_year_of_runs_costs_the_runs_that_have_not_ended,
        jobs,
        'count_due',
        lambda job, now_ms: job.times,
    )


def test_job_is_completed_with_its_last_run(case):
    made = accept(make_job(times=2))
    planner = Planner(made)
    planner.expand(NOW)
    planner.finish(0)
    case.assertEqual(made.find_job_state(ID), data.JobState.RUNNING)
    planner.expand(NOW + MINUTES_5)
    planner.finish(1)
    case.assertEqual(made.find_job_state(ID), data.JobState.COMPLETED)
    made.apply(events.JobDropped(ID))
    case.assertEqual((made.jobs, made.workloads), ({}, {}))


def test_runs_that_are_due_at_once_wait_for_each_other(case):
    made = accept(make_job(times=MOST_RUNS, first_ms=0, interval_ms=0))
    planner = Planner(made)
    planner.expand(NOW)
    first = list_occurrences(made)
    bytes_each = jobs.estimate_occurrence_bytes(made.jobs[ID].job)
    case.assertLessEqual(len(first) * bytes_each, jobs.MAX_RECURRING_BYTES)
    case.assertEqual(planner.expand(NOW + 1), [])
    planner.finish(0)
    planner.expand(NOW + 2)
    case.assertEqual(list_occurrences(made), [*first[1:], len(first)])


def test_job_of_many_tasks_runs_one_by_one(case):
    made = accept(make_job(count=100_000, interval_ms=0))
    Planner(made).expand(NOW)
    case.assertEqual(list_occurrences(made), [0])


def test_each_job_runs_while_others_have_all_that_is_due(case):
    names = [f'{number:016x}' for number in range(40)]
    greedy = [make_job(one, MOST_RUNS, interval_ms=0) for one in names]
    made = accept(*greedy, make_job(first_ms=NOW + 1))
    planner = Planner(made)
    planner.expand(NOW)
    planner.expand(NOW + 1)
    case.assertEqual(list_occurrences(made), [0])
    size = sum(
        len(list_occurrences(made, one))
        * jobs.estimate_occurrence_bytes(made.jobs[one].job)
        for one in made.jobs
    )
    case.assertLessEqual(size, occurrences.MAX_SHARD_BYTES + 40 * 10_000)
    for one in names:
        case.assertIn(0, list_occurrences(made, one))


def test_runs_overlap_and_end_in_any_order(case):
    made = accept(make_job(times=3, interval_ms=10))
    planner = Planner(made)
    planner.expand(NOW + 15)
    case.assertEqual(list_occurrences(made), [0, 1])
    planner.finish(1)
    case.assertEqual(list_occurrences(made), [0])
    planner.expand(NOW + 20)
    case.assertEqual(list_occurrences(made), [0, 2])
    planner.finish(2)
    planner.finish(0)
    case.assertEqual(made.find_job_state(ID), data.JobState.COMPLETED)


def test_cancelled_job_gets_no_more_runs(case):
    made = accept(make_job())
    planner = Planner(made)
    planner.expand(NOW)
    made.apply(events.JobCancelled(ID))
    case.assertEqual(planner.expand(NOW + 10 * MINUTES_5), [])
    case.assertEqual(made.find_job_state(ID), data.JobState.CANCELLED)
    case.assertEqual(made.list_active(), [])
    planner = Planner(state.ShardState.unpack(made.pack()))
    case.assertEqual(planner.expand(NOW + 10 * MINUTES_5), [])


def test_new_owner_goes_on_between_the_due_time_and_its_entry(case):
    made = accept(make_job())
    planner = Planner(made)
    planner.expand(NOW)
    planner.finish(0)
    planner.expand(NOW + MINUTES_5)
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(list_occurrences(restored), [1])
    successor = Planner(restored)
    successor.expand(NOW + 2 * MINUTES_5)
    case.assertEqual(list_occurrences(restored), [1, 2])
    successor.finish(1)
    successor.finish(2)
    case.assertEqual(restored.jobs[ID].succeeded, 3)


def test_new_owner_drops_runs_that_ended_under_the_former_one(case):
    made = accept(make_job())
    planner = Planner(made)
    planner.expand(NOW)
    planner.schedule.make_drop_events = lambda: []
    planner.finish(0)
    successor = Planner(state.ShardState.unpack(made.pack()))
    (event,) = successor.schedule.make_drop_events()
    case.assertEqual((event.id, event.numbers), (ID, [0]))


def test_clock_that_is_set_back_repeats_no_run(case):
    made = accept(make_job())
    planner = Planner(made)
    planner.expand(NOW + MINUTES_5)
    planner.finish(0)
    planner.expand(NOW - 10_000)
    planner.expand(NOW + MINUTES_5)
    case.assertEqual(list_occurrences(made), [1])


def test_lasting_runs_that_cannot_be_held_are_refused(case):
    lasting = make_job(kind=data.Kind.STANDING)
    problem = jobs.validate_job(lasting)
    case.assertEqual(problem.field, 'times')
    case.assertIn('never end', problem.describe())
    few = make_job(times=2, kind=data.Kind.STANDING)
    case.assertIsNone(jobs.validate_job(few))
    case.assertIsNone(jobs.validate_job(make_job(times=MOST_RUNS)))


def test_job_of_which_a_run_has_succeeded_is_not_pending(case):
    made = accept(make_job())
    begun = begun_jobs.BegunJobs(made)
    case.assertEqual(begun.count_pending('plans'), 1)
    planner = Planner(made)
    planner.expand(NOW)
    planner.finish(0)
    case.assertEqual(begun.count_pending('plans'), 0)


def test_recurring_job_is_explained(case):
    """Its runs are no workloads before they are due and after they end."""
    made = accept(make_job())
    planner = Planner(made)
    planner.expand(NOW)
    planner.finish(0)
    shown = []
    for subject in (ID, f'{ID}.0.0', f'{ID}.0.0.0', f'{ID}.7.0'):
        query = operations.Query(subject)
        found = operations.explain(made, query, {}, NOW).ok_value
        shown.append(found.state)
    job = f'running: 1 were due, 1 of {RUNS_OF_A_YEAR} runs have succeeded'
    case.assertEqual(shown, [job, *['not due yet, or ended'] * 3])
    unknown = operations.explain(made, operations.Query('f'), {}, NOW)
    case.assertEqual(unknown.err_value.code, 'unknown-id')


def test_log_of_a_version_that_expands_at_once_is_read(case):
    made = accept(make_job(times=3))
    task = f'{ID}.1.0.0'
    made.apply(events.TaskPlaced(task, 1, 'vm-1'))
    case.assertEqual(list_occurrences(made), [0, 1])
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))
    Planner(made).expand(NOW + 2 * MINUTES_5)
    case.assertEqual(list_occurrences(made), [0, 1, 2])


def test_snapshot_of_a_version_that_expands_at_once_is_collapsed(case):
    made = accept(make_job(times=1000))
    made.apply(events.OccurrencesDue(ID, 1000))
    made.apply(events.TaskPlaced(f'{ID}.1.0.0', 1, 'vm-1'))
    # Such a version has no such field.
    made.jobs[ID].expanded = 0
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(list_occurrences(restored), [0, 1])
    case.assertEqual(len(restored.workloads), 4)
    case.assertEqual(restored.jobs[ID].expanded, 2)
    Planner(restored).expand(NOW + 2 * MINUTES_5)
    case.assertEqual(list_occurrences(restored), [0, 1, 2])


def test_version_that_does_not_know_the_new_kinds_skips_them(case):
    rows = events.write_events(
        [events.OccurrencesDue(ID, 3), events.OccurrencesDropped(ID, [0, 1])]
    )
    for row in rows:
        row[0] = f'{row[0]} of a later version'
    case.assertEqual(events.read_events(rows), [])


def test_runs_go_on_under_the_next_owner(case):
    made = cluster.Cluster()
    made.run(4)
    now_ms = made.nodes[0].clock.read_unix_ms()
    job = make_job(times=4, first_ms=now_ms + 1000, interval_ms=4000)
    made.submit_job(job)
    for _ in range(2):
        made.run(4)
        made.finish_running()
    made.restart_side(made.nodes[0])
    made.nodes[1].claim()
    for _ in range(10):
        made.run(4)
        made.finish_running()
    made.run(4)
    found = made.read_state()
    case.assertEqual(found.find_job_state(ID), data.JobState.COMPLETED)
    case.assertEqual(found.jobs[ID].succeeded, 4)
    started = [
        run.attempt.task for node in made.nodes for run in node.worker.record
    ]
    case.assertEqual(len(started), 8)
    case.assertEqual(len(set(started)), 8)


def play_changes(made, rnd):
    """Change the owner, restart sides and lose the store, at random."""
    node = rnd.choice(made.nodes)
    action = rnd.choice(('claim', 'restart', 'down', 'up', 'none', 'none'))
    if action == 'claim':
        node.claim()
    elif action == 'restart':
        made.restart_side(node)
    elif action in ('down', 'up'):
        made.fake.faults.down = action == 'down'


def test_runs_end_once_each_through_owner_changes_and_outages(case):
    """The cluster checks after each step that nothing runs twice."""
    for seed in range(12):
        rnd = random.Random(seed)
        made = cluster.Cluster()
        made.run(4)
        now_ms = made.nodes[0].clock.read_unix_ms()
        times = rnd.choice((5, 30))
        interval_ms = rnd.choice((0, 700, 5000))
        job = make_job(
            times=times, first_ms=now_ms + 1000, interval_ms=interval_ms
        )
        made.submit_job(job)
        made.run(2)
        for _ in range(12):
            play_changes(made, rnd)
            made.run(rnd.uniform(0.5, 4))
            made.finish_running()
        made.fake.faults.down = False
        for _ in range(120):
            found = made.read_state()
            if found.find_job_state(ID) == data.JobState.COMPLETED:
                break
            if not made.list_owners():
                made.nodes[0].claim()
            made.run(2)
            made.finish_running()
        state_at_end = found.find_job_state(ID)
        case.assertEqual(state_at_end, data.JobState.COMPLETED, seed)
        record = found.jobs[ID]
        done = record.succeeded + len(record.steps) // 2
        case.assertEqual((seed, done), (seed, times))
        case.assertFalse(record.failed)
