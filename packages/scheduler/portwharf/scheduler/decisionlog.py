# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Logs an owner's decisions about jobs and their tasks.

A job can be traced by its id through all lines: its acceptance, placements,
failed, evicted and lost attempts, its cancellation and its end. Tasks that
succeed are combined into one line for each workload and VM to limit the
volume.
"""

import collections
import logging
import math

from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import operations

LOG = logging.getLogger(__name__)

# Workloads that wait for less are not logged.
LONG_WAIT_SECONDS = 1.0
_UNLOGGED_STATES = (data.RunState.RUNNING, data.RunState.SUCCEEDED)


def log_submission(outcome, job):
    """Log the acceptance or refusal of a job.

    :param outcome: Ok(``operations.CallOutcome``), or Err(Problem)
    :param job: the ``data.Job`` that was submitted
    """
    if outcome.is_err():
        reason = outcome.err_value.describe()
        extra = logs.fields(request=job.id, reason=reason)
        LOG.info('job refused', extra=extra)
    elif outcome.ok_value.answer.created:
        tasks = sum(one.count for one in job.steps)
        extra = logs.fields(
            request=job.id,
            queue=job.queue,
            count=tasks,
            due_ms=_find_due_ms(job),
        )
        LOG.info('job accepted', extra=extra)


def log_refusal(job, verdict, now_ms, retry_ms):
    """Log that a job was not admitted.

    :param job: the ``data.Job`` that was submitted
    :param verdict: the ``job_admission.Verdict``
    :param retry_ms: after how long a retry may help, 0 if it does not
    """
    end_in_ms = None
    if verdict.end_ms and math.isfinite(verdict.end_ms):
        end_in_ms = int(verdict.end_ms - now_ms)
    extra = logs.fields(
        request=job.id,
        queue=job.queue,
        reason=verdict.reason,
        ahead_cpu_ms=int(verdict.ahead / 1000),
        rate_milli=int(verdict.rate),
        end_in_ms=end_in_ms,
        retry_ms=retry_ms,
    )
    LOG.info('job refused', extra=extra)


def log_cancellation(outcome, job_id):
    """Log a job's cancellation, the first time that it is executed.

    :param outcome: Ok(``operations.CallOutcome``), or Err(Problem)
    """
    if outcome.is_ok() and outcome.ok_value.events:
        count = len(outcome.ok_value.stop)
        extra = logs.fields(request=job_id, count=count)
        known = isinstance(outcome.ok_value.answer, operations.Cancelled)
        text = 'job cancelled' if known else 'job withdrawn before it came'
        LOG.info(text, extra=extra)


def log_dropped_calls(count):
    """Log how many calls one pass dropped, as their callers had left."""
    LOG.info('calls dropped', extra=logs.fields(count=count))


def log_job_end(record, ended, now_ms):
    """Log that a job has ended, and how long it took.

    :param record: a ``state.JobRecord``
    :param ended: its ``data.JobState``
    """
    took_ms = now_ms - record.unix_ms
    extra = logs.fields(request=record.job.id, state=ended, took_ms=took_ms)
    LOG.info('job ended', extra=extra)


def log_placements(placements):
    """Log one pass's placements, a line for each workload and VM.

    :param placements: list of ``placement.Placement``
    """
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
    """Log a VM's successful attempts, one line for each workload.

    :param taken: the events that follow from the VM's reports
    :param find_run_ms: function of a workload's id that returns the measured
        run time of its tasks at full speed, or None
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


def log_attempt_end(vm, report):
    """Log an attempt that ended without success."""
    if report.state in _UNLOGGED_STATES:
        return
    extra = logs.fields(
        task=report.task,
        attempt=report.attempt,
        vm=vm,
        state=report.state,
        reason=report.reason,
        life=report.crash or None,
        ran_ms=report.ran_ms if report.crash else None,
        listed_ms=report.listed_ms if report.crash else None,
    )
    LOG.info('attempt ended', extra=extra)


def log_superseded_success(vm, report, task):
    """Log the success of an attempt that a later one has replaced.

    :param task: the ``state.TaskRecord``, with its latest attempt
    """
    extra = logs.fields(
        task=report.task,
        attempt=report.attempt,
        vm=vm,
        latest=task.attempt,
        state=task.state,
    )
    LOG.warning('superseded attempt succeeded', extra=extra)


def log_eviction(task, reason):
    """Log that an attempt is checkpointed and stopped."""
    extra = logs.fields(
        task=task.id, attempt=task.attempt, vm=task.vm, reason=reason
    )
    LOG.info('evicting', extra=extra)


def log_early_moves(count, first):
    """Log how many stalled tasks move before waiting ones are placed.

    :param first: number of stalled tasks that rank before all waiting ones
    """
    extra = logs.fields(count=count, stalled=first)
    LOG.info('stalled tasks moved before placement', extra=extra)


def log_hung_attempt(one):
    """Log that an attempt makes no progress, and whether it stays.

    :param one: a ``hung_tasks.HungAttempt``
    """
    task = one.task
    extra = logs.fields(
        task=task.id,
        attempt=task.attempt,
        vm=task.vm,
        percent=one.report.done,
        worked_ms=one.report.worked_ms,
        run_ms=one.run_ms,
        limit_ms=one.limit_ms,
        count=one.moves,
        reason=one.kept or None,
    )
    text = 'hung attempt stays' if one.kept else 'hung attempt moves'
    LOG.warning(text, extra=extra)


def log_lost_attempt(task, vm):
    """Log that an attempt is given up because its VM is lost."""
    extra = logs.fields(task=task.id, attempt=task.attempt, vm=vm)
    LOG.warning('lost with its VM', extra=extra)


def log_suspect(task):
    """Log that a task's workers have crashed for the second time or more."""
    extra = logs.fields(
        task=task.id, attempt=task.attempt, count=len(task.crashes)
    )
    LOG.warning('task suspected of crashing its workers', extra=extra)


def log_cleared(task):
    """Log that a suspect is cleared, as it runs past its startup."""
    extra = logs.fields(task=task.id, attempt=task.attempt, vm=task.vm)
    LOG.info('task cleared of crashing its workers', extra=extra)


def log_given_up(task, in_trial):
    """Log that a task fails because it crashes its workers.

    :param in_trial: whether its last crash came in a trial
    """
    crashes = [_describe_crash(crash) for crash in task.crashes]
    kind = 'trial' if in_trial else 'no trial'
    extra = logs.fields(
        task=task.id,
        attempt=task.attempt,
        count=len(task.crashes),
        reason=f'{kind}: {", ".join(crashes)}',
    )
    LOG.warning('task given up: crashes its workers', extra=extra)


def _describe_crash(crash):
    """Return a ``suspects.CrashRecord`` as text."""
    if crash.close:
        return f'{crash.name} at its start'
    return f'{crash.name} as it ran' if crash.survived else crash.name


class WaitLog:
    """Logs workloads that wait for long, once for each wait."""

    def __init__(self):
        self._waiting_since = {}
        self._logged = set()

    def update(self, waiting, now):
        """Update what waits after a pass, and log new long waits.

        :param waiting: map of a workload's id to its
            ``placement.UnplacedWorkload``
        """
        self._waiting_since = {
            name: self._waiting_since.get(name, now) for name in waiting
        }
        self._logged &= set(waiting)
        for name, since in self._waiting_since.items():
            if name in self._logged or now - since < LONG_WAIT_SECONDS:
                continue
            self._logged.add(name)
            one = waiting[name]
            counts = one.choice.list_refusals() if one.choice else []
            texts = [f'{count.name} {count.number}' for count in counts]
            reason = ', '.join([one.reason, *texts])
            extra = logs.fields(workload=name, reason=reason)
            LOG.info('waits for a place', extra=extra)


def _find_due_ms(job):
    """Return the objective of a batch job in ms, None for other jobs.

    Uses the client's estimates of run times, because measured ones change.
    """
    if any(step.kind != data.Kind.BATCH for step in job.steps):
        return None
    chain_ms = max(jobs.compute_path_ms(job.steps))
    return int(jobs.compute_objective_ms(job, chain_ms))


def _describe_attempts(names):
    """Return a workload's attempts as text: ``0.1,3.2``.

    :param names: list of (task id, attempt)
    """
    parts = []
    for task, attempt in names:
        number = task.rpartition(ids.TASK_SEPARATOR)[2]
        parts.append(f'{number}.{attempt}')
    return ','.join(parts)
