# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Snapshots stay small, however many jobs have ended.

After a power failure all sides read the snapshot at the same time, and no
owner may decide before a majority of them has.
"""

from portwharf.core import data
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler import events
from portwharf.scheduler import state

# Includes the job's argument of 300 bytes.
MAX_BYTES_PER_ENDED_JOB = 900
TASKS = 18


def add_job(made, number, **ending):
    """Accept a job of two steps and place its tasks.

    :returns: the job's id, and those of its tasks
    """
    name = f'{number:016x}'
    steps = [
        data.Workload(count=9, image='plan', run_ms=1000),
        data.Workload(count=9, image='plan', run_ms=1000, after=['0']),
    ]
    job = data.Job(name, argument=b'x' * 300, steps=steps)
    made.apply(events.JobAccepted(1, job))
    tasks = [f'{name}.0.{n // 9}.{n % 9}' for n in range(TASKS)]
    for task in tasks:
        made.apply(events.TaskPlaced(task, 1, 'vm-1'))
        decision = events.Decision(1, 'placed', task, 'vm-1')
        made.apply(events.DecisionMade(decision))
    return name, tasks


def end_all(made, tasks, end_state=data.TaskState.SUCCEEDED):
    """End tasks with a state."""
    for task in tasks:
        made.apply(events.TaskEnded(task, 1, end_state))


def test_snapshot_has_no_tasks_of_ended_jobs(case):
    made = state.ShardState()
    for number in range(200):
        _, tasks = add_job(made, number)
        end_all(made, tasks)
    case.assertLess(len(made.pack()), 200 * MAX_BYTES_PER_ENDED_JOB)


def test_ended_job_is_restored_from_a_snapshot(case):
    made = state.ShardState()
    done, tasks = add_job(made, 1)
    end_all(made, tasks)
    failed, tasks = add_job(made, 2)
    end_all(made, tasks[:1], data.TaskState.FAILED)
    made.apply(events.JobCancelled(failed))
    end_all(made, tasks[1:], data.TaskState.CANCELLED)
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(restored.tasks, {})
    case.assertEqual(restored.find_job_state(done), data.JobState.COMPLETED)
    case.assertEqual(restored.find_job_state(failed), data.JobState.FAILED)
    case.assertEqual(restored.list_active(), [])
    predicted = forecast.Forecast(restored)
    for name in restored.jobs[done].steps:
        case.assertEqual(
            predicted.get_step_forecast(restored.workloads[name]).left, 0
        )
    for name in (done, failed):
        made.apply(events.JobDropped(name))
        restored.apply(events.JobDropped(name))
    case.assertEqual(restored.workloads, {})


def test_running_job_is_restored_with_all_its_tasks(case):
    """So is a cancelled job of which a task still runs."""
    made = state.ShardState()
    running, tasks = add_job(made, 1)
    end_all(made, tasks[:9])
    cancelled, others = add_job(made, 2)
    made.apply(events.JobCancelled(cancelled))
    end_all(made, others[1:], data.TaskState.CANCELLED)
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(sorted(restored.tasks), sorted(tasks + others))
    case.assertEqual(len(restored.held['vm-1']), 10)
    case.assertEqual(restored.find_job_state(running), data.JobState.RUNNING)
