# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Clients' calls about jobs as a shard's owner carries them out.

As in :mod:`portwharf.scheduler.operations`: a call that changes something
gives events, and is answered once they are in the log.
"""

import dataclasses

import result

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import operations


@dataclasses.dataclass(slots=True)
class JobSubmission:
    """A job to accept, once for each id."""

    job: data.Job = dataclasses.field(default_factory=data.Job)


@dataclasses.dataclass(slots=True)
class JobView:
    """A job as it is shown.

    :param state: one of ``data.JobState``, or '' if it is not known
    """

    id: str = ''
    state: str = ''


@dataclasses.dataclass(slots=True)
class Pending:
    """How many accepted jobs of a queue have not begun."""

    count: int = 0


def submit_job(state, call, now_ms):
    """Accept a job, once for each id.

    :returns: Ok(Step), or Err(Problem)
    """
    if call.job.id in state.jobs:
        return result.Ok(
            operations.Step(answer=operations.Accepted(call.job.id))
        )
    problem = jobs.find_problem(call.job)
    if problem is not None:
        return result.Err(problem)
    step = operations.Step(answer=operations.Accepted(call.job.id, True))
    operations.add_event(state, step, events.JobAccepted(now_ms, call.job))
    return result.Ok(step)


def cancel_job(state, job_id):
    """Cancel a job; doing it twice changes nothing more.

    :returns: Ok(Step), or Err(Problem)
    """
    record = state.jobs.get(job_id)
    if record is None:
        return result.Err(operations.describe_unknown(job_id))
    step = operations.Step(answer=operations.Cancelled())
    if not record.cancelled:
        operations.add_event(state, step, events.JobCancelled(job_id))
    step.stop = list_held(state, record)
    step.answer.tasks = len(step.stop)
    return result.Ok(step)


def list_held(state, record):
    """Return the tasks of a job that belong to a VM."""
    return [
        task
        for name in record.steps
        for task in state.workloads[name].tasks
        if task.vm
    ]


def count_pending(state, queue):
    """Return how many jobs of a queue, '' for all, have not begun."""
    count = sum(
        1
        for record in state.jobs.values()
        if queue in ('', record.job.queue)
        and state.find_job_state(record.job.id) == data.JobState.QUEUED
    )
    return Pending(count)
