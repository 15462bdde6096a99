# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Executes clients' calls about jobs for a shard's owner.

As in :mod:`portwharf.scheduler.operations`, a call that changes state produces
events and is answered once they are logged.
"""

import dataclasses

import result

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import operations


@dataclasses.dataclass(slots=True)
class JobSubmission:
    """Arguments of ``submit-job``."""

    job: data.Job = dataclasses.field(default_factory=data.Job)


@dataclasses.dataclass(slots=True)
class JobView:
    """Answer to ``read-job``.

    :param state: one of ``data.JobState``, or '' if the job is unknown
    """

    id: str = ''
    state: str = ''


@dataclasses.dataclass(slots=True)
class Pending:
    """Answer to ``count-pending``: how many jobs have not begun."""

    count: int = 0


def needs_admission(state, job):
    """Return whether a submission may be refused for want of capacity.

    One that is in the log is accepted already. One whose cancellation came
    first is accepted and cancelled.
    """
    return (
        job.id not in state.jobs
        and job.id not in state.withdrawn
        and jobs.validate_job(job) is None
    )


def explain_refusal(job, problem, now_ms):
    """Return the ``events.Decision`` to refuse a job.

    :param problem: the ``data.Problem`` that its client gets
    """
    return events.Decision(
        now_ms,
        problem.code,
        job.id,
        detail=problem.text,
        advice=problem.remedy,
    )


def submit_job(state, call, now_ms):
    """Accept a job; submitting the same id again changes nothing.

    :returns: Ok(CallOutcome), or Err(Problem)
    """
    if call.job.id in state.jobs:
        return result.Ok(
            operations.CallOutcome(answer=operations.Accepted(call.job.id))
        )
    problem = jobs.validate_job(call.job)
    if problem is not None:
        return result.Err(problem)
    outcome = operations.CallOutcome(
        answer=operations.Accepted(call.job.id, True)
    )
    operations.add_event(state, outcome, events.JobAccepted(now_ms, call.job))
    if call.job.id in state.withdrawn:
        # Its cancellation came by a faster connection.
        operations.add_event(state, outcome, events.JobCancelled(call.job.id))
    return result.Ok(outcome)


def cancel_job(state, job_id):
    """Cancel a job; cancelling it again changes nothing.

    An unknown id is logged too: the job may still be submitted, and a former
    owner must not call a job unknown that its successor has accepted.

    :returns: Ok(CallOutcome), whose answer is a Problem for an unknown id
    """
    record = state.jobs.get(job_id)
    if record is None:
        problem = operations.make_unknown_id(job_id)
        outcome = operations.CallOutcome(answer=problem)
        operations.add_event(state, outcome, events.JobWithdrawn(job_id))
        return result.Ok(outcome)
    outcome = operations.CallOutcome(answer=operations.Cancelled())
    if not record.cancelled:
        operations.add_event(state, outcome, events.JobCancelled(job_id))
    outcome.stop = list_held(state, record)
    outcome.answer.tasks = len(outcome.stop)
    return result.Ok(outcome)


def list_held(state, record):
    """Return the tasks of a job that are assigned to a VM."""
    return [
        task
        for name in record.steps
        for task in state.workloads[name].tasks
        if task.vm
    ]
