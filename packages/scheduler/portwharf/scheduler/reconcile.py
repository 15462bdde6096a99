# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Turns a side's reports of attempts into events and commands.

Reports may be late, duplicated or about attempts that were given up long ago.
Only reports about a task's current attempt change its state. Makes the
commands to start and stop attempts as well.
"""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events
from portwharf.scheduler import suspects

# Limit for batch tasks whose workload sets none. All attempts count, except
# evicted ones; the task fails if the last of them fails.
MAX_FAILURES = 3

_ENDED_STATES = frozenset(
    (
        data.RunState.SUCCEEDED,
        data.RunState.FAILED,
        data.RunState.CHECKPOINTED,
        data.RunState.REFUSED,
        data.RunState.GONE,
    )
)


@dataclasses.dataclass(slots=True)
class ReportOutcome:
    """The events, commands and acknowledgements that follow from reports.

    :param commands: messages for the side, to be sent after the events
        are logged
    :param forget: ``messages.TaskRef`` of attempts that the side may forget
        after that
    :param late: ``messages.TaskReport`` of successes that cannot be accepted
        while a later attempt is assigned to a VM
    :param succeeded: ids of tasks that such a success will end, also one of
        earlier reports
    """

    events: list = dataclasses.field(default_factory=list)
    commands: list = dataclasses.field(default_factory=list)
    forget: list = dataclasses.field(default_factory=list)
    late: list = dataclasses.field(default_factory=list)
    succeeded: frozenset = frozenset()


def process_report(state, vm, report, verdict):
    """Process one report: apply its events and add its results to a verdict.

    :param state: the shard's state, which is changed
    :param vm: the name of the VM that sent the report
    :param report: a ``messages.TaskReport``
    """
    task = state.tasks.get(report.task)
    if task is not None and _is_current(task, vm, report):
        _process_current(state, vm, task, report, verdict)
    elif task is not None and _is_success_before_retry(state, task, report):
        ended = _make_task_ended(report, data.TaskState.SUCCEEDED)
        _add(state, verdict, ended)
        _end_gang_members(state, ended, verdict)
        verdict.forget.append(_make_ref(report))
    elif task is not None and _is_late_success(state, task, report):
        _add_late(state, verdict, task, report)
    elif report.state in _ENDED_STATES:
        _forget(verdict, report)
    else:
        verdict.commands.append(
            messages.StopTask(state.epoch, report.task, report.attempt)
        )


def find_missing(state, vm, reports, started=()):
    """Return the tasks that a VM should run but did not report.

    :param reports: the VM's complete list of ``messages.TaskReport``
    :param started: its prepared tasks that were told to start, as that
        command may have been lost
    """
    known = {(report.task, report.attempt) for report in reports}
    return [
        task
        for task in (*state.held[vm].values(), *started)
        if (task.id, task.attempt) not in known
    ]


def make_start(state, task, ticket='', weigher=None):
    """Return the command that starts a placed task's attempt.

    :param ticket: the policy's ticket for its worker, or ''
    :param weigher: a ``precedence.Weigher``, or None to use clients'
        estimates
    """
    record = state.find_workload(task.id)
    workload = record.workload
    job = state.jobs.get(workload.job)
    claim = precedence.Claim()
    if workload.fills:
        weigher = weigher or precedence.Weigher(state, 0)
        claim = weigher.make_claim(record)
    return messages.StartTask(
        state.epoch,
        task.id,
        task.attempt,
        workload.kind,
        workload.key,
        workload.exclusive,
        workload.reserved,
        workload.program,
        job.job.argument if job else workload.argument,
        record.checkpoint if workload.gang else task.checkpoint,
        workload.resources.cpu_milli if workload.fills else 0,
        workload.target_ms,
        ticket,
        claim.left,
        claim.due_ms,
        claim.late_ms,
        workload.pool,
        workload.label,
    )


def make_held_tasks(state, vm, runtimes=None):
    """Return the ``messages.HeldTasks`` of a VM.

    Prepared tasks are listed too: they may have been started while the store
    was down.
    """
    held = []
    weigher = precedence.Weigher(state, 0, runtimes)
    tasks = [*state.held[vm].values(), *state.prepared[vm].values()]
    for task in tasks:
        start = make_start(state, task, weigher=weigher)
        held.append(
            messages.HeldTask(
                start.task,
                start.attempt,
                start.kind,
                start.workload,
                start.resources,
                start.program,
                start.fill_milli,
                start.target_ms,
                start.left,
                start.due_ms,
                start.late_ms,
            )
        )
    return messages.HeldTasks(held)


def make_missing_command(state, task, ticket='', runtimes=None):
    """Return the command for a placed task that its VM does not list.

    An unwanted task is stopped rather than started: the side answers a stop
    of an unknown attempt with a report that it is gone.
    """
    if is_unwanted(state, task) or task.state == data.TaskState.EVICTING:
        return make_stop(state, task, False)
    weigher = precedence.Weigher(state, 0, runtimes)
    return make_start(state, task, ticket, weigher)


def make_stop(state, task, checkpoint):
    """Return the command that stops a placed task's attempt.

    :param checkpoint: whether it is to save a checkpoint first
    """
    return messages.StopTask(state.epoch, task.id, task.attempt, checkpoint)


def is_unwanted(state, task):
    """Return whether a task was cancelled or is beyond the task count."""
    record = state.find_workload(task.id)
    return record.cancelled or task.number >= record.workload.count


def _is_current(task, vm, report):
    return task.vm == vm and task.attempt == report.attempt and bool(task.vm)


def _is_success_before_retry(state, task, report):
    """Return whether an attempt that was given up succeeded before a retry.

    The task still waits: later attempts, if any, were refused or have ended.
    Accepting the result now ends the task exactly once.
    """
    if task.state != data.TaskState.WAITING:
        return False
    return _is_batch_success(state, task, report) and (
        task.attempt == report.attempt
        or not _is_gang_assigned(state.find_workload(task.id))
    )


def _is_late_success(state, task, report):
    """Return whether a former attempt of an assigned task has succeeded."""
    record = state.find_workload(task.id)
    return (
        report.attempt < task.attempt
        and _is_batch_success(state, task, report)
        and (bool(task.vm) or _is_gang_assigned(record))
        and not is_unwanted(state, task)
    )


def _is_batch_success(state, task, report):
    is_success = report.state == data.RunState.SUCCEEDED
    kind = state.find_workload(task.id).workload.kind
    return is_success and kind == data.Kind.BATCH


def _is_gang_assigned(record):
    """Return whether a workload is a gang with a member on a VM."""
    return record.workload.gang and any(task.vm for task in record.tasks)


def _process_current(state, vm, task, report, verdict):
    """Process a report of a task's current attempt."""
    if report.state == data.RunState.RUNNING:
        if task.state == data.TaskState.PREPARED:
            # It was started while the store was down.
            _add(
                state,
                verdict,
                events.TaskPlaced(task.id, task.attempt, vm),
            )
        if is_unwanted(state, task):
            verdict.commands.append(make_stop(state, task, False))
        elif task.state == data.TaskState.EVICTING:
            verdict.commands.append(make_stop(state, task, True))
        return
    ended = _make_end_event(state, task, report, verdict)
    _add(state, verdict, ended)
    _end_gang_members(state, ended, verdict)
    _forget(verdict, report)


def _forget(verdict, report):
    """Let the side forget the end that it has reported.

    If its worker lists no end, none is acknowledged: should one be listed
    later, it is not the one that was reported.
    """
    is_unlisted = report.state == data.RunState.REFUSED or (
        report.state == data.RunState.GONE
        and report.reason in messages.UNLISTED_REASONS
    )
    if not is_unlisted:
        verdict.forget.append(_make_ref(report))


def _add_late(state, verdict, task, report):
    """Keep a late success, also for the reports that follow it."""
    record = state.find_workload(task.id)
    tasks = record.tasks if record.workload.gang else [task]
    verdict.late.append(report)
    verdict.succeeded = verdict.succeeded.union(one.id for one in tasks)


def _end_gang_members(state, ended, verdict):
    """End a gang's other members if the ended one has succeeded."""
    record = state.find_workload(ended.task)
    if not record.workload.gang or not isinstance(ended, events.TaskEnded):
        return
    if ended.state == data.TaskState.SUCCEEDED:
        for event in gangs.end_other_members(record, ended):
            _add(state, verdict, event)


def _make_end_event(state, task, report, verdict):
    """Return the event for the end of an attempt.

    A failure does not end a task that a former attempt's success will end.
    """
    workload = state.find_workload(task.id).workload
    is_batch = workload.kind == data.Kind.BATCH
    if report.state == data.RunState.SUCCEEDED and is_batch:
        return _make_task_ended(report, data.TaskState.SUCCEEDED)
    has_failed = report.state == data.RunState.FAILED
    record = state.find_workload(task.id)
    may_fail = has_failed and is_batch and task.id not in verdict.succeeded
    if may_fail and _is_final_attempt(task, record):
        return _make_task_ended(report, data.TaskState.FAILED)
    was_evicted = report.state == data.RunState.CHECKPOINTED
    crash = ''
    if report.crash:
        crash = suspects.make_crash_name(task.vm, report.crash)
    return events.TaskRequeued(
        report.task,
        report.attempt,
        was_evicted,
        report.checkpoint,
        has_failed,
        crash,
        report.ran_ms,
        report.listed_ms,
    )


def _is_final_attempt(task, record):
    """Return whether one more failed attempt fails the task.

    If its workload sets a limit, only failures count, not attempts that were
    lost with their VM. A gang has one count for all its members.
    """
    workload = record.workload
    if workload.gang:
        is_new_failure = task.attempt > record.failed_attempt
        limit = workload.max_failures or MAX_FAILURES
        return record.failures + is_new_failure >= limit
    if workload.max_failures:
        return task.failures + 1 >= workload.max_failures
    return task.attempt - task.evictions >= MAX_FAILURES


def _make_task_ended(report, state):
    return events.TaskEnded(report.task, report.attempt, state, report.result)


def _add(state, verdict, event):
    state.apply(event)
    verdict.events.append(event)


def _make_ref(report):
    return messages.TaskRef(report.task, report.attempt)
