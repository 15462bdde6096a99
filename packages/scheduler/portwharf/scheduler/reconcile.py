# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side's report of an attempt means for the log.

Reports may come late, twice or from attempts that were given up long ago;
only one about the attempt that the log holds changes anything. The outcome
is a list of events and a list of commands for that side.
"""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events
from portwharf.scheduler import suspects

# Attempts of a batch task that may fail before the task has failed.
MAX_FAILURES = 3

_OVER = frozenset(
    (
        data.RunState.SUCCEEDED,
        data.RunState.FAILED,
        data.RunState.CHECKPOINTED,
        data.RunState.REFUSED,
        data.RunState.GONE,
    )
)


@dataclasses.dataclass(slots=True)
class Verdict:
    """What follows from reports.

    :param commands: messages for the side, to be sent after the events
        are in the log
    :param forget: attempts that the side may drop after that
    """

    events: list = dataclasses.field(default_factory=list)
    commands: list = dataclasses.field(default_factory=list)
    forget: list = dataclasses.field(default_factory=list)


def judge_report(state, vm, report, verdict):
    """Add what one report means to a verdict, and apply its event.

    :param state: the shard's state, which is changed
    :param vm: the name of the VM that reports
    """
    task = state.tasks.get(report.task)
    if task is not None and _is_current(task, vm, report):
        _judge_current(state, vm, task, report, verdict)
    elif task is not None and _ends_waiting(task, report):
        ended = _end(report, data.TaskState.SUCCEEDED)
        _add(state, verdict, ended)
        _end_gang(state, ended, verdict)
        verdict.forget.append(_name(report))
    elif report.state in _OVER:
        verdict.forget.append(_name(report))
    else:
        verdict.commands.append(
            messages.StopTask(state.epoch, report.task, report.attempt)
        )


def find_missing(state, vm, reports, begun=()):
    """Return the tasks that a VM should run but did not report.

    :param begun: its prepared tasks that were told to begin; that order may
        be lost like any
    """
    known = {(report.task, report.attempt) for report in reports}
    return [
        task
        for task in (*state.held[vm].values(), *begun)
        if (task.id, task.attempt) not in known
    ]


def make_start(state, task, ticket='', runtimes=None):
    """Return the command that begins a placed task's attempt.

    :param ticket: what the policy gave for its VM, or ''
    :param runtimes: a ``forecast.RunTimes``; clients' estimates, if None
    """
    record = state.find_workload(task.id)
    workload = record.workload
    job = state.jobs.get(workload.job)
    claim = precedence.Claim()
    if workload.fills:
        claim = precedence.Weigher(state, 0, runtimes).make_claim(record)
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
    )


def make_held(state, vm, runtimes=None):
    """Return the ``messages.HeldTasks`` of all that a VM holds.

    What is prepared there may have begun while the store did not answer.
    """
    held = []
    tasks = [*state.held[vm].values(), *state.prepared[vm].values()]
    for task in tasks:
        start = make_start(state, task, runtimes=runtimes)
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


def make_catch_up(state, task, ticket='', runtimes=None):
    """Return the command for a placed task that its VM does not list.

    What nobody wants any more is not begun: its stop has the side answer
    that it is gone.
    """
    if is_unwanted(state, task) or task.state == data.TaskState.EVICTING:
        return make_stop(state, task, False)
    return make_start(state, task, ticket, runtimes)


def make_stop(state, task, checkpoint):
    """Return the command that ends a placed task's attempt."""
    return messages.StopTask(state.epoch, task.id, task.attempt, checkpoint)


def is_unwanted(state, task):
    """Tell whether a placed task's workload has no more use for it."""
    record = state.find_workload(task.id)
    return record.cancelled or task.number >= record.workload.count


def _is_current(task, vm, report):
    return task.vm == vm and task.attempt == report.attempt and bool(task.vm)


def _ends_waiting(task, report):
    """Tell whether a given-up attempt's success came before the next.

    The attempt was the last one begun and its task still waits, so taking
    the result now ends the task exactly once.
    """
    return (
        task.state == data.TaskState.WAITING
        and task.attempt == report.attempt
        and report.state == data.RunState.SUCCEEDED
    )


def _judge_current(state, vm, task, report, verdict):
    if report.state == data.RunState.RUNNING:
        if task.state == data.TaskState.PREPARED:
            # Begun while the store did not answer; now it is logged.
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
    ended = _conclude(state, task, report)
    _add(state, verdict, ended)
    _end_gang(state, ended, verdict)
    verdict.forget.append(_name(report))


def _end_gang(state, ended, verdict):
    """End the other members of a gang of which one has succeeded."""
    record = state.find_workload(ended.task)
    if not record.workload.gang or not isinstance(ended, events.TaskEnded):
        return
    if ended.state == data.TaskState.SUCCEEDED:
        for event in gangs.end_others(record, ended):
            _add(state, verdict, event)


def _conclude(state, task, report):
    """Return the event of an attempt that is over."""
    workload = state.find_workload(task.id).workload
    batch = workload.kind == data.Kind.BATCH
    if report.state == data.RunState.SUCCEEDED and batch:
        return _end(report, data.TaskState.SUCCEEDED)
    failed = report.state == data.RunState.FAILED
    record = state.find_workload(task.id)
    if failed and batch and _is_last_try(task, record):
        return _end(report, data.TaskState.FAILED)
    evicted = report.state == data.RunState.CHECKPOINTED
    crash = ''
    if report.crash:
        crash = suspects.name_crash(task.vm, report.crash)
    return events.TaskRequeued(
        report.task,
        report.attempt,
        evicted,
        report.checkpoint,
        failed,
        crash,
        report.ran_ms,
    )


def _is_last_try(task, record):
    """Tell whether a task that fails once more has failed for good.

    A job's task may fail so often by itself; attempts that were lost with
    their VM do not count against it.
    """
    workload = record.workload
    if workload.gang:
        fresh = task.attempt > record.failed_attempt
        most = workload.max_failures or MAX_FAILURES
        return record.failures + fresh >= most
    if workload.max_failures:
        return task.failures + 1 >= workload.max_failures
    return task.attempt - task.evictions >= MAX_FAILURES


def _end(report, ended):
    return events.TaskEnded(report.task, report.attempt, ended, report.result)


def _add(state, verdict, event):
    state.apply(event)
    verdict.events.append(event)


def _name(report):
    return messages.TaskRef(report.task, report.attempt)
