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
from portwharf.scheduler import events
from portwharf.scheduler import jobs

LOG = logging.getLogger(__name__)

# A workload that waits for longer than this has a line.
WAIT_SECONDS = 1.0
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
        extra = logs.fields(
            request=job.id,
            queue=job.queue,
            count=tasks,
            due_ms=_find_due_ms(job),
        )
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
    rows = collections.defaultdict(list)
    for placed in placements:
        workload = ids.split_task_id(placed.task)
        rows[(workload, placed.vm)].append((placed.task, placed.attempt))
    for (workload, vm), names in rows.items():
        extra = logs.fields(
            workload=workload,
            vm=vm,
            count=len(names),
            tasks=_describe_attempts(names),
        )
        LOG.info('placed', extra=extra)


def log_successes(vm, taken, find_run_ms):
    """Log the attempts of each workload that ended well, as one VM told.

    :param taken: the events that follow from what it told
    :param find_run_ms: gives for a workload's id how long its tasks run at
        full pace, as measured, or None
    """
    rows = collections.defaultdict(list)
    for event in taken:
        if not isinstance(event, events.TaskEnded):
            continue
        if event.state == data.TaskState.SUCCEEDED:
            workload = ids.split_task_id(event.task)
            rows[workload].append((event.task, event.attempt))
    for workload, names in rows.items():
        extra = logs.fields(
            workload=workload,
            vm=vm,
            tasks=_describe_attempts(names),
            run_ms=find_run_ms(workload),
        )
        LOG.info('succeeded', extra=extra)


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


class WaitLog:
    """The lines about workloads that wait for a place, one an episode."""

    def __init__(self):
        self._since = {}
        self._told = set()

    def note(self, waiting, now):
        """Take what waits after a pass, and tell of what has for long.

        :param waiting: map of a workload's id to its ``placement.Waiting``
        """
        self._since = {name: self._since.get(name, now) for name in waiting}
        self._told &= set(waiting)
        for name, since in self._since.items():
            if name in self._told or now - since < WAIT_SECONDS:
                continue
            self._told.add(name)
            one = waiting[name]
            counts = one.choice.list_refusals() if one.choice else []
            texts = [f'{count.name} {count.number}' for count in counts]
            reason = ', '.join([one.reason, *texts])
            extra = logs.fields(workload=name, reason=reason)
            LOG.info('waits for a place', extra=extra)


def _find_due_ms(job):
    """Return within how many ms a job should end, None if it lasts.

    By its client's estimates: what is learnt of run times changes.
    """
    if any(step.kind != data.Kind.BATCH for step in job.steps):
        return None
    chain_ms = max(jobs.measure_chains(job.steps))
    return int(jobs.find_objective(job, chain_ms))


def _describe_attempts(names):
    """Return attempts of one workload as text, as in ``0.1,3.2``."""
    parts = []
    for task, attempt in names:
        number = task.rpartition(ids.TASK_SEPARATOR)[2]
        parts.append(f'{number}.{attempt}')
    return ','.join(parts)
