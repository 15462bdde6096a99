# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What every side reads of the log stays small, however much has been done.

After a loss of all power all sides read it at the same moment, and nobody
may decide before more than half of them have.
"""

from portwharf.core import data
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler import events
from portwharf.scheduler import state

# A snapshot's share of a job that is over, its text of 300 bytes included.
MOST_BYTES_A_JOB = 900
TASKS = 18


def add_job(made, number, **ending):
    """Have a job of two steps accepted and its tasks placed.

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


def end_all(made, tasks, state_then=data.TaskState.SUCCEEDED):
    """Have tasks come to their end."""
    for task in tasks:
        made.apply(events.TaskEnded(task, 1, state_then))


def test_job_that_is_over_costs_no_task(case):
    made = state.ShardState()
    for number in range(200):
        _, tasks = add_job(made, number)
        end_all(made, tasks)
    case.assertLess(len(made.pack()), 200 * MOST_BYTES_A_JOB)


def test_job_that_is_over_is_still_known(case):
    made = state.ShardState()
    done, tasks = add_job(made, 1)
    end_all(made, tasks)
    failed, tasks = add_job(made, 2)
    end_all(made, tasks[:1], data.TaskState.FAILED)
    made.apply(events.JobCancelled(failed))
    end_all(made, tasks[1:], data.TaskState.CANCELLED)
    again = state.ShardState.unpack(made.pack())
    case.assertEqual(again.tasks, {})
    case.assertEqual(again.find_job_state(done), data.JobState.COMPLETED)
    case.assertEqual(again.find_job_state(failed), data.JobState.FAILED)
    case.assertEqual(again.list_unended(), [])
    looked = forecast.Forecast(again)
    for name in again.jobs[done].steps:
        case.assertEqual(looked.look_at(again.workloads[name]).left, 0)
    for name in (done, failed):
        made.apply(events.JobDropped(name))
        again.apply(events.JobDropped(name))
    case.assertEqual(again.workloads, {})


def test_job_that_is_not_over_comes_back_with_all_its_tasks(case):
    """Also one that is cancelled while some of its tasks are stopped."""
    made = state.ShardState()
    open_job, tasks = add_job(made, 1)
    end_all(made, tasks[:9])
    stopped, others = add_job(made, 2)
    made.apply(events.JobCancelled(stopped))
    end_all(made, others[1:], data.TaskState.CANCELLED)
    again = state.ShardState.unpack(made.pack())
    case.assertEqual(sorted(again.tasks), sorted(tasks + others))
    case.assertEqual(len(again.held['vm-1']), 10)
    case.assertEqual(again.find_job_state(open_job), data.JobState.RUNNING)
