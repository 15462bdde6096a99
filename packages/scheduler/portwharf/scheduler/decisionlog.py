# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The lines that an owner logs, one for each decision about a job.

A job can be followed by its id: it is accepted, its steps are placed, an
attempt ends badly, is moved or lost, and the job ends. The volume is bound
by jobs and VMs, not by tasks that go well.
"""

import collections
import logging

from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs

LOG = logging.getLogger(__name__)

_GOOD_STATES = (data.RunState.RUNNING, data.RunState.SUCCEEDED)


def log_submission(step, job):
    """Log what became of a submission.

    :param step: Ok(``operations.Step``), or Err(Problem)
    """
    if step.is_err():
        reason = step.err_value.describe()
        extra = logs.fields(request=job.id, reason=reason)
        LOG.info('job refused', extra=extra)
    elif step.ok_value.answer.created:
        tasks = sum(one.count for one in job.steps)
        extra = logs.fields(request=job.id, queue=job.queue, count=tasks)
        LOG.info('job accepted', extra=extra)


def log_job_end(record, ended, now_ms):
    """Log that a job is over, and how long it took.

    :param record: a ``state.JobRecord``
    """
    took_ms = now_ms - record.unix_ms
    extra = logs.fields(request=record.job.id, state=ended, took_ms=took_ms)
    LOG.info('job ended', extra=extra)


def log_placements(placements):
    """Log where the tasks of each workload went in one pass."""
    counts = collections.Counter(
        (ids.split_task_id(placed.task), placed.vm) for placed in placements
    )
    for (workload, vm), count in counts.items():
        extra = logs.fields(workload=workload, vm=vm, count=count)
        LOG.info('placed', extra=extra)


def log_end(vm, report):
    """Log an attempt that ended otherwise than well."""
    if report.state in _GOOD_STATES:
        return
    extra = logs.fields(
        task=report.task,
        attempt=report.attempt,
        vm=vm,
        state=report.state,
        reason=report.reason,
        life=report.crash or None,
        ran_ms=report.ran_ms if report.crash else None,
    )
    LOG.info('attempt ended', extra=extra)


def log_eviction(task, reason):
    """Log that an attempt is saved and stopped."""
    extra = logs.fields(
        task=task.id, attempt=task.attempt, vm=task.vm, reason=reason
    )
    LOG.info('evicting', extra=extra)


def log_loss(task, vm):
    """Log that an attempt is given up with its VM."""
    extra = logs.fields(task=task.id, attempt=task.attempt, vm=vm)
    LOG.warning('lost with its VM', extra=extra)


def log_suspect(task):
    """Log that a worker crashed under a task, for the second time or more."""
    extra = logs.fields(
        task=task.id, attempt=task.attempt, count=len(task.crashes)
    )
    LOG.warning('under suspicion of crashing its workers', extra=extra)


def log_cleared(task):
    """Log that a suspect has kept at work."""
    extra = logs.fields(task=task.id, attempt=task.attempt, vm=task.vm)
    LOG.info('cleared of crashing its workers', extra=extra)


def log_given_up(task):
    """Log that a task is given up, as it crashes its workers."""
    extra = logs.fields(
        task=task.id, attempt=task.attempt, count=len(task.crashes)
    )
    LOG.warning('given up: crashes its workers', extra=extra)
